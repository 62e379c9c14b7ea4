#pragma once

#include <masticlever/common/result.h>

#include <QHostAddress>

#include <cstdint>
#include <string_view>

namespace masticlever::peers::detail
{

struct socket_address {
    QHostAddress host;
    std::uint16_t port = 0;
};

/// Reads "IP:port", with brackets around an IPv6 number; names are error::malformed.
common::result<socket_address> parseAddress(std::string_view text);

} // namespace masticlever::peers::detail
