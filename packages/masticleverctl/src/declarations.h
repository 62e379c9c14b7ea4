#pragma once

#include <masticlever/configuration/resources.h>

#include <QByteArray>
#include <QString>

#include <string>
#include <vector>

/// \file
/// Reads resource declarations from JSON files; a file holds one {"kind","name","spec"} object or an array of them.

namespace masticlever::masticleverctl
{

struct declaration {
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::string spec; ///< canonical JSON
};

/// Declarations that were read, and errors; an error names its file and field.
struct declaration_set {
    std::vector<declaration> items;
    std::vector<QString> errors;
};

/// Reads one file, or every *.json file below a folder in the order of file names.
declaration_set readDeclarations(const QString &path);
/// Adds the declarations in the content of one file.
void addDeclarations(const QByteArray &json, const QString &file, declaration_set &target);

/// Returns \p json with every default filled in, or \p json itself when it does not parse.
std::string canonicalSpec(configuration::resource_kind kind, const std::string &json);

} // namespace masticlever::masticleverctl
