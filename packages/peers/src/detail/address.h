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

/// Parses "IP:port"; an IPv6 address may be in brackets. Returns error::malformed for host names.
common::result<socket_address> parseAddress(std::string_view text);

} // namespace masticlever::peers::detail
