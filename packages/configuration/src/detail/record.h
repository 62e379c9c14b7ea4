#pragma once

#include "detail/table.h"

#include <string>
#include <string_view>
#include <variant>

/// \file
/// Payloads of the configuration log.
///
/// Change:   {"change":{"id","op":"put"|"remove","kind","name","expected","spec"}}
/// Snapshot: {"snapshot":{"covers","digest","skipped","pipeline":{NAME:{"version","spec"}},"team","endpoint",
///           "decided":[[ID,HASH,STATUS,VERSION,FIELD,DETAIL],...]}}

namespace masticlever::configuration::detail
{

/// A payload that is neither a change nor a snapshot, or is over its size limit.
struct garbage {
};

using decoded = std::variant<garbage, change, table>;

/// A decoded snapshot is the table at the offset that it covers.
decoded decodePayload(std::string_view payload);

std::string encodeTable(const table &state);

} // namespace masticlever::configuration::detail
