#include <masticlever/common/json.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonValue>
#include <QString>

namespace masticlever::common
{

std::string compactJson(const QJsonValue &value)
{
    const std::string wrapped = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact).toStdString();
    return wrapped.substr(1, wrapped.size() - 2);
}

std::string quoteJson(std::string_view text)
{
    return compactJson(QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size())));
}

} // namespace masticlever::common
