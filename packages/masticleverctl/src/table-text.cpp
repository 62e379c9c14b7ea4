#include "table-text.h"

#include <QJsonObject>
#include <QList>

#include <algorithm>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

namespace
{

constexpr int columnGap = 2;

QString inForceText(const QJsonObject &object)
{
    const QJsonArray instances = object.value(u"status"_s).toObject().value(u"in_force"_s).toArray();
    const qint64 version = object.value(u"version"_s).toInteger();
    const auto hasVersion = [version](const QJsonValue &instance) {
        return instance.toObject().value(u"offset"_s).toInteger() >= version;
    };
    const auto count = std::count_if(instances.begin(), instances.end(), hasVersion);
    return u"%1/%2"_s.arg(count).arg(instances.size());
}

QString cellText(const QJsonObject &object, const QString &column)
{
    if (column == u"in_force"_s) {
        return inForceText(object);
    }
    const QJsonValue value = object.value(column);
    return value.isDouble() ? QString::number(value.toInteger()) : value.toString();
}

} // namespace

QString tableText(const QJsonArray &objects, const QStringList &columns)
{
    QList<QStringList> rows{{}};
    for (const QString &column : columns) {
        rows.front().append(column.toUpper());
    }
    for (const auto &item : objects) {
        QStringList row;
        for (const QString &column : columns) {
            row.append(cellText(item.toObject(), column));
        }
        rows.append(row);
    }
    QString text;
    for (const QStringList &row : rows) {
        QString line;
        for (qsizetype i = 0; i < row.size(); ++i) {
            qsizetype width = 0;
            for (const QStringList &other : rows) {
                width = std::max(width, other[i].size());
            }
            line += row[i].leftJustified(width + columnGap);
        }
        text += line.trimmed() + u'\n';
    }
    return text;
}

} // namespace masticlever::masticleverctl
