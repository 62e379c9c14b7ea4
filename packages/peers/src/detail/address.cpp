#include "detail/address.h"

#include <masticlever/common/errors.h>

#include <QString>

#include <charconv>

namespace masticlever::peers::detail
{

common::result<socket_address> parseAddress(std::string_view text)
{
    const auto malformed = make_error_code(common::error::malformed);
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    socket_address address;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    const bool isPort = parsed.ec == std::errc{} && parsed.ptr == end;
    const bool isHost = address.host.setAddress(QString::fromUtf8(host.data(), static_cast<qsizetype>(host.size())));
    if (!isPort || !isHost) {
        return malformed;
    }
    return address;
}

} // namespace masticlever::peers::detail
