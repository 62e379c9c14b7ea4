#include "declarations.h"

#include <masticlever/configuration/codec.h>

#include <QDirIterator>
#include <QFile>
#include <QFileInfo>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonParseError>
#include <QStringList>

#include <algorithm>
#include <optional>
#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

namespace
{

using configuration::field_error;
using configuration::resource_kind;

struct checked_spec {
    std::string json;
    std::optional<field_error> error;
};

template <typename Spec> checked_spec toCheckedSpec(const configuration::parsed<Spec> &read)
{
    return {configuration::toJson(read.spec), read.error};
}

checked_spec checkSpec(resource_kind kind, const std::string &json)
{
    switch (kind) {
    case resource_kind::pipeline:
        return toCheckedSpec(configuration::parsePipeline(json));
    case resource_kind::team:
        return toCheckedSpec(configuration::parseTeam(json));
    case resource_kind::endpoint:
        return toCheckedSpec(configuration::parseEndpoint(json));
    }
    return {};
}

void addDeclaration(const QJsonObject &object, const QString &location, declaration_set &target)
{
    const auto kind = configuration::parseKind(object.value(u"kind"_s).toString().toStdString());
    const std::string name = object.value(u"name"_s).toString().toStdString();
    if (!kind || name.empty() || object.size() != 3 || !object.value(u"spec"_s).isObject()) {
        target.errors.push_back(location + u": needs kind (pipeline, team or endpoint), name and spec, no more"_s);
        return;
    }
    const auto isSame = [&](const declaration &other) { return other.kind == *kind && other.name == name; };
    if (std::any_of(target.items.begin(), target.items.end(), isSame)) {
        target.errors.push_back(location + u": %1 is declared twice"_s.arg(QString::fromStdString(name)));
        return;
    }
    const QByteArray spec = QJsonDocument(object.value(u"spec"_s).toObject()).toJson(QJsonDocument::Compact);
    checked_spec checked = checkSpec(*kind, spec.toStdString());
    if (checked.error) {
        target.errors.push_back(location
                                + u": %1: %2 %3"_s.arg(QString::fromStdString(name),
                                                       QString::fromStdString(checked.error->field),
                                                       QString::fromStdString(checked.error->detail)));
        return;
    }
    target.items.push_back({*kind, name, std::move(checked.json)});
}

QStringList listFiles(const QString &path)
{
    if (!QFileInfo(path).isDir()) {
        return {path};
    }
    QStringList files;
    QDirIterator iterator(path, {u"*.json"_s}, QDir::Files, QDirIterator::Subdirectories);
    while (iterator.hasNext()) {
        files.append(iterator.next());
    }
    files.sort();
    return files;
}

} // namespace

declaration_set readDeclarations(const QString &path)
{
    declaration_set read;
    for (const QString &name : listFiles(path)) {
        QFile file(name);
        if (!file.open(QIODevice::ReadOnly)) {
            read.errors.push_back(name + u": "_s + file.errorString());
            continue;
        }
        addDeclarations(file.readAll(), name, read);
    }
    return read;
}

void addDeclarations(const QByteArray &json, const QString &file, declaration_set &target)
{
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(json, &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        target.errors.push_back(file + u": "_s + parseError.errorString() + u" at byte %1"_s.arg(parseError.offset));
        return;
    }
    const QJsonArray items = document.isArray() ? document.array() : QJsonArray{document.object()};
    for (qsizetype i = 0; i < items.size(); ++i) {
        addDeclaration(items[i].toObject(), document.isArray() ? file + u"[%1]"_s.arg(i) : file, target);
    }
}

std::string canonicalSpec(resource_kind kind, const std::string &json)
{
    const checked_spec checked = checkSpec(kind, json);
    return checked.error ? json : checked.json;
}

} // namespace masticlever::masticleverctl
