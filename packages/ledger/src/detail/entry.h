#pragma once

#include <masticlever/ledger/ledger.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Entries of the ledger's log records.

namespace masticlever::ledger::detail
{

using common::wall_time;

/// Owner \a owner is about to send the call of \a stage.
struct claim_entry {
    run_key run;
    std::string digest;
    std::string pipeline;
    std::string position;
    std::string owner;
    std::string nonce;
    std::uint32_t stage = 0;
    epoch expected = 0;
    wall_time until; ///< end of the key's window; later claims have no effect
    std::chrono::milliseconds waited{0}; ///< from the request's arrival to this entry
};

/// Outcome of the claim \a nonce, told by its sender.
struct finish_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
    std::string result;
    std::string answer; ///< final answer of the run; empty while later stages are open
};

struct answer_entry {
    run_key run;
    epoch expected = 0;
    std::string answer;
};

/// With a nonce: voids the writer's own claim. Without: moves the epoch of a run that has no claim.
struct refuse_entry {
    run_key run;
    std::string owner;
    std::string nonce;
    epoch expected = 0;
    std::uint64_t token = 0; ///< of the writer: which of its refusals this is
    wall_time until;
    std::chrono::milliseconds hold{0};
};

struct take_entry {
    run_key run;
    epoch expected = 0;
    std::string owner;
};

struct unknown_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
};

/// Outcome of the claim \a nonce, told by the endpoint's status query or an operator.
struct settle_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
    std::string result;
};

/// Unfinished part of a run.
struct open_part {
    std::string position;
    std::string owner;
    std::string nonce; ///< of the newest claim
    std::string doneResult;
    std::optional<std::uint32_t> claimed; ///< stage without an outcome
    std::optional<std::uint32_t> done; ///< newest stage with an outcome
    bool unknown = false;
    platform::log_offset mentionedAt = 0; ///< newest entry of the run, valid or not
    wall_time carriedAt; ///< log time since which the log holds the run in full
};

/// Full state of an unfinished run after the record \a asOf, for readers that start behind its first claim.
struct carry_entry {
    run_key run;
    platform::log_offset asOf = 0;
    epoch at = 0;
    std::string digest;
    std::string pipeline;
    open_part open;
    wall_time until;
    wall_time changedAt;
};

using entry = std::variant<claim_entry, finish_entry, answer_entry, refuse_entry, take_entry, unknown_entry,
                           settle_entry, carry_entry>;

const run_key &runOf(const entry &e);

/// One JSON object of the record's entry list.
std::string encodeEntry(const entry &e);

/// Joins entries that were encoded by encodeEntry() to a record's payload.
std::string encodeRecord(const std::vector<std::string> &entries);

/// error::malformed or error::too_large; then no entry of the record counts.
common::result<std::vector<entry>> decodeRecord(std::string_view payload);

} // namespace masticlever::ledger::detail
