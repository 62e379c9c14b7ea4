#include "detail/rules.h"

#include <QHostAddress>
#include <QString>

#include <algorithm>
#include <charconv>

namespace masticlever::configuration::detail
{

namespace
{

constexpr std::size_t maximumNameLength = 63;
constexpr std::size_t maximumPathLength = 256;
constexpr std::size_t maximumChangeIdLength = 64;
constexpr std::size_t digestLength = 64;
constexpr unsigned highestPort = 65535;

bool isLowerOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool isNumber = error == std::errc{} && end == text.data() + text.size();
    return isNumber && text.front() != '0' && port <= highestPort;
}

} // namespace

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maximumNameLength || !isLowerOrDigit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) { return isLowerOrDigit(c) || c == '-'; });
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size() || !isPort(text.substr(colon + 1))) {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto hostText = QString::fromLatin1(host.data(), static_cast<qsizetype>(host.size()));
    const QHostAddress address(hostText);
    const auto protocol = bracketed ? QAbstractSocket::IPv6Protocol : QAbstractSocket::IPv4Protocol;
    return address.protocol() == protocol && address.toString() == hostText;
}

bool isDigest(std::string_view text)
{
    const auto isHexadecimal = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digestLength && std::all_of(text.begin(), text.end(), isHexadecimal);
}

bool isHttpPath(std::string_view text)
{
    if (text.empty() || text.size() > maximumPathLength || text.front() != '/') {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
}

bool isChangeId(std::string_view text)
{
    const auto allowed
        = [](char c) { return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maximumChangeIdLength && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace masticlever::configuration::detail
