#pragma once

#include "detail/replicated-state.h"

#include <string>
#include <string_view>
#include <variant>

/// \file
/// Encoding of configuration log records.
///
/// Change:   {"change":{"id","op":"put"|"remove","kind","name","expected","spec"}}
/// Snapshot: {"snapshot":{"covers","digest","skipped","pipeline":{NAME:{"version","spec"}},"team","endpoint",
///           "decided":[[ID,HASH,STATUS,VERSION,FIELD,DETAIL],...]}}

namespace masticlever::configuration::detail
{

/// A payload that is neither a valid change nor a valid snapshot, or exceeds its size limit.
struct invalid_payload {
};

using decoded_payload = std::variant<invalid_payload, change, replicated_state>;

/// Decodes a payload; a snapshot yields the state at the offset that it covers.
decoded_payload decodePayload(std::string_view payload);

std::string encodeState(const replicated_state &state);

} // namespace masticlever::configuration::detail
