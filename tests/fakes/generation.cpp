#include "generation.h"

#include <QCryptographicHash>
#include <QJsonDocument>

namespace masticlever::fakes
{

namespace
{

constexpr int promptDigestDigits = 16;
constexpr int tokenDigits = 4;
constexpr int defaultTokens = 16;

} // namespace

QByteArray sha256(const QByteArray &data)
{
    return QCryptographicHash::hash(data, QCryptographicHash::Sha256).toHex();
}

QByteArray requestDigest(const QJsonObject &request)
{
    return sha256(QJsonDocument(request).toJson(QJsonDocument::Compact));
}

QByteArray promptDigest(const QJsonObject &request)
{
    return sha256(request.value(u"prompt").toString().toUtf8()).left(promptDigestDigits);
}

int tokenCount(const QJsonObject &request)
{
    return request.value(u"max_tokens").toInt(defaultTokens);
}

QByteArray token(const QJsonObject &request, int index)
{
    if (index == 0) {
        return promptDigest(request) + ' ';
    }
    return sha256(requestDigest(request) + QByteArray::number(index)).left(tokenDigits) + ' ';
}

QByteArray generatedText(const QJsonObject &request)
{
    QByteArray text;
    for (int i = 0; i < tokenCount(request); ++i) {
        text += token(request, i);
    }
    return text;
}

} // namespace masticlever::fakes
