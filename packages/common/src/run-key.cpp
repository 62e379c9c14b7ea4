#include <masticlever/common/errors.h>
#include <masticlever/common/run-key.h>

#include <QByteArray>
#include <QString>
#include <QUuid>

namespace masticlever::common
{

namespace
{

constexpr int canonicalLength = 36;
constexpr int versionPosition = 14;
constexpr int variantPosition = 19;

} // namespace

result<std::string> parseKey(std::string_view text)
{
    if (text.size() != canonicalLength) {
        return make_error_code(error::malformed);
    }
    const auto uuid = QUuid::fromString(QLatin1StringView(text.data(), canonicalLength));
    if (uuid.isNull()) {
        return make_error_code(error::malformed);
    }
    std::string canonical = uuid.toByteArray(QUuid::WithoutBraces).toStdString();
    const char variant = canonical[variantPosition];
    const bool isRfcVariant = variant == '8' || variant == '9' || variant == 'a' || variant == 'b';
    if (canonical[versionPosition] != '7' || !isRfcVariant) {
        return make_error_code(error::malformed);
    }
    return canonical;
}

wall_time keyTime(std::string_view key)
{
    constexpr int hexadecimal = 16;
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    return wall_time(std::chrono::milliseconds(std::stoll(digits, nullptr, hexadecimal)));
}

} // namespace masticlever::common
