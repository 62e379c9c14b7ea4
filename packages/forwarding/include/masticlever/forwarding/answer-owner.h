#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Decides whether an answer on a kept connection belongs to the exchange in flight. An endpoint may send an answer
/// again, or one more, where the next one is due.

namespace masticlever::forwarding
{

enum class answer_owner {
    this_exchange,
    other_exchange, ///< an earlier one; the own answer follows
    unknown, ///< it has no id, and an earlier exchange on the connection may have caused it
};

/// \p answerId is the id that the answer names, \p requestId that of the request in flight.
answer_owner ownerOf(const std::optional<std::string> &answerId, std::string_view requestId, bool isFirstExchange);

} // namespace masticlever::forwarding
