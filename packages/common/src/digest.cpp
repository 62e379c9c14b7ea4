#include <masticlever/common/digest.h>

#include <QByteArray>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

#include <algorithm>
#include <cstddef>

namespace masticlever::common
{

namespace
{

QByteArray view(std::string_view data)
{
    return QByteArray::fromRawData(data.data(), static_cast<qsizetype>(data.size()));
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    return QCryptographicHash::hash(view(data), QCryptographicHash::Sha256).toHex().toStdString();
}

unsigned long long stableHash(std::string_view data)
{
    const QByteArray hash = QCryptographicHash::hash(view(data), QCryptographicHash::Sha256);
    unsigned long long value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(hash[static_cast<qsizetype>(i)]);
    }
    return value;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    return QMessageAuthenticationCode::hash(view(data), view(key), QCryptographicHash::Sha256).toStdString();
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    const std::size_t common = std::min(left.size(), right.size());
    for (std::size_t i = 0; i < common; ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace masticlever::common
