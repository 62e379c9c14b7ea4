#pragma once

#include <masticlever/configuration/resources.h>

#include <QByteArray>
#include <QString>

#include <string>
#include <vector>

/// \file
/// Declarations in files: {"kind","name","spec"} or an array of them.

namespace masticlever::masticleverctl
{

struct declaration {
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::string spec; ///< canonical JSON
};

/// Declarations and faults; a fault names its file and field.
struct declaration_set {
    std::vector<declaration> items;
    std::vector<QString> faults;
};

/// Reads one file, or every *.json file below a folder in the order of their names.
declaration_set readDeclarations(const QString &path);
/// Adds the declarations of one file's content.
void addDeclarations(const QByteArray &json, const QString &file, declaration_set &target);

/// \p json with every default filled in; the text itself when it does not parse.
std::string canonicalSpec(configuration::resource_kind kind, const std::string &json);

} // namespace masticlever::masticleverctl
