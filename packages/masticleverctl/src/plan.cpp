#include "plan.h"

#include <masticlever/configuration/codec.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <set>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

namespace
{

using configuration::resource_kind;

constexpr std::array putOrder{resource_kind::endpoint, resource_kind::pipeline, resource_kind::team};

const present_resource *findPresent(const std::vector<present_resource> &present, resource_kind kind,
                                    const std::string &name)
{
    const auto found = std::find_if(present.begin(), present.end(),
                                    [&](const present_resource &one) { return one.kind == kind && one.name == name; });
    return found == present.end() ? nullptr : &*found;
}

bool isDeclared(const std::vector<declaration> &declared, const present_resource &one)
{
    return std::any_of(declared.begin(), declared.end(),
                       [&](const declaration &d) { return d.kind == one.kind && d.name == one.name; });
}

void addPut(const declaration &wanted, const std::vector<present_resource> &present, std::vector<step> &steps)
{
    const present_resource *found = findPresent(present, wanted.kind, wanted.name);
    if (found == nullptr) {
        steps.push_back({step_action::create, wanted.kind, wanted.name, 0, {}, wanted.spec});
        return;
    }
    const std::string before = canonicalSpec(wanted.kind, found->spec);
    if (before != wanted.spec) {
        steps.push_back({step_action::update, wanted.kind, wanted.name, found->version, before, wanted.spec});
    }
}

QJsonObject parse(const std::string &json)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
}

QString valueText(const QJsonValue &value)
{
    const QByteArray inArray = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(inArray.mid(1, inArray.size() - 2));
}

QString title(const step &what)
{
    constexpr std::array words{"create", "update", "remove"};
    const auto kind = configuration::toString(what.kind);
    return u"%1 %2/%3\n"_s.arg(QLatin1StringView(words[static_cast<std::size_t>(what.action)]),
                               QString::fromLatin1(kind.data(), static_cast<qsizetype>(kind.size())),
                               QString::fromStdString(what.name));
}

} // namespace

std::vector<step> makePlan(const std::vector<declaration> &declared, const std::vector<present_resource> &present,
                           bool prune)
{
    std::vector<step> steps;
    for (const resource_kind kind : putOrder) {
        for (const declaration &wanted : declared) {
            if (wanted.kind == kind) {
                addPut(wanted, present, steps);
            }
        }
    }
    if (!prune) {
        return steps;
    }
    for (auto kind = putOrder.rbegin(); kind != putOrder.rend(); ++kind) {
        for (const present_resource &one : present) {
            if (one.kind == *kind && !isDeclared(declared, one)) {
                steps.push_back({step_action::remove, one.kind, one.name, one.version, one.spec, {}});
            }
        }
    }
    return steps;
}

QString describe(const step &what)
{
    const QJsonObject before = parse(what.before);
    const QJsonObject after = parse(what.after);
    std::set<QString> fields;
    for (const QString &name : before.keys() + after.keys()) {
        fields.insert(name);
    }
    QString text = title(what);
    for (const QString &name : fields) {
        if (before.value(name) == after.value(name)) {
            continue;
        }
        if (before.contains(name)) {
            text += u"  - %1: %2\n"_s.arg(name, valueText(before.value(name)));
        }
        if (after.contains(name)) {
            text += u"  + %1: %2\n"_s.arg(name, valueText(after.value(name)));
        }
    }
    return text;
}

} // namespace masticlever::masticleverctl
