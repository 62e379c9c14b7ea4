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

const current_resource *findCurrent(const std::vector<current_resource> &current, resource_kind kind,
                                    const std::string &name)
{
    const auto found = std::find_if(current.begin(), current.end(), [&](const current_resource &resource) {
        return resource.kind == kind && resource.name == name;
    });
    return found == current.end() ? nullptr : &*found;
}

bool isDeclared(const std::vector<declaration> &declared, const current_resource &resource)
{
    return std::any_of(declared.begin(), declared.end(), [&](const declaration &other) {
        return other.kind == resource.kind && other.name == resource.name;
    });
}

void addPutStep(const declaration &desired, const std::vector<current_resource> &current, std::vector<plan_step> &steps)
{
    const current_resource *found = findCurrent(current, desired.kind, desired.name);
    if (found == nullptr) {
        steps.push_back({step_action::create, desired.kind, desired.name, 0, {}, desired.spec});
        return;
    }
    const std::string before = canonicalSpec(desired.kind, found->spec);
    if (before != desired.spec) {
        steps.push_back({step_action::update, desired.kind, desired.name, found->version, before, desired.spec});
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

QString title(const plan_step &step)
{
    constexpr std::array words{"create", "update", "remove"};
    const auto kind = configuration::toString(step.kind);
    return u"%1 %2/%3\n"_s.arg(QLatin1StringView(words[static_cast<std::size_t>(step.action)]),
                               QString::fromLatin1(kind.data(), static_cast<qsizetype>(kind.size())),
                               QString::fromStdString(step.name));
}

} // namespace

std::vector<plan_step> makePlan(const std::vector<declaration> &declared, const std::vector<current_resource> &current,
                                bool prune)
{
    std::vector<plan_step> steps;
    for (const resource_kind kind : putOrder) {
        for (const declaration &desired : declared) {
            if (desired.kind == kind) {
                addPutStep(desired, current, steps);
            }
        }
    }
    if (!prune) {
        return steps;
    }
    for (auto kind = putOrder.rbegin(); kind != putOrder.rend(); ++kind) {
        for (const current_resource &resource : current) {
            if (resource.kind == *kind && !isDeclared(declared, resource)) {
                steps.push_back(
                    {step_action::remove, resource.kind, resource.name, resource.version, resource.spec, {}});
            }
        }
    }
    return steps;
}

QString describe(const plan_step &step)
{
    const QJsonObject before = parse(step.before);
    const QJsonObject after = parse(step.after);
    std::set<QString> fields;
    for (const QString &name : before.keys() + after.keys()) {
        fields.insert(name);
    }
    QString text = title(step);
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
