#pragma once

#include <masticlever/ledger/ledger.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Entries of the ledger's log records and their JSON encoding.

namespace masticlever::ledger::detail
{

using common::wall_time;

/// \a owner is about to send the call of \a stage.
struct claim_entry {
    run_key run;
    std::string digest;
    std::string pipeline;
    std::string position;
    std::string owner;
    std::string nonce;
    std::uint32_t stage = 0;
    epoch expected = 0;
    wall_time until; ///< end of the key's window; claims appended later have no effect
    std::chrono::milliseconds waited{0}; ///< from the request's arrival to this entry
};

/// Outcome of the claim \a nonce, reported by the instance that sent the call.
struct finish_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
    std::string result;
    std::string answer; ///< final answer of the run; empty while later stages remain
};

/// Final answer of a run whose claimed stages all have an outcome.
struct answer_entry {
    run_key run;
    epoch expected = 0;
    std::string answer;
};

/// With a nonce: voids the writer's own claim. Without: advances the epoch of a run that has no claim.
struct refuse_entry {
    run_key run;
    std::string owner;
    std::string nonce;
    epoch expected = 0;
    std::uint64_t token = 0; ///< identifies the refusal among those of the writer
    wall_time until;
    std::chrono::milliseconds hold{0};
};

/// \a owner takes over the run.
struct take_entry {
    run_key run;
    epoch expected = 0;
    std::string owner;
};

/// The call of the claim \a nonce was sent and its outcome is not known.
struct unknown_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
};

/// Outcome of the claim \a nonce, learned from the endpoint's status query or an operator.
struct settle_entry {
    run_key run;
    std::uint32_t stage = 0;
    std::string nonce;
    std::string result;
};

/// State that only unfinished runs have.
struct open_run {
    std::string position;
    std::string owner;
    std::string nonce; ///< of the newest claim
    std::string doneResult;
    std::optional<std::uint32_t> claimed; ///< stage without an outcome
    std::optional<std::uint32_t> done; ///< newest stage with an outcome
    bool unknown = false;
    platform::log_offset lastEntryOffset = 0; ///< offset of the newest entry of the run, valid or not
    wall_time checkpointedAt; ///< log time of the run's first claim or newest up-to-date checkpoint
};

/// Full state of an unfinished run after the record \a asOf, for readers that start after its first claim. Stored
/// with the kind "carry".
struct checkpoint_entry {
    run_key run;
    platform::log_offset asOf = 0;
    epoch at = 0;
    std::string digest;
    std::string pipeline;
    open_run open;
    wall_time until;
    wall_time changedAt;
};

using entry = std::variant<claim_entry, finish_entry, answer_entry, refuse_entry, take_entry, unknown_entry,
                           settle_entry, checkpoint_entry>;

const run_key &runOf(const entry &e);

/// Returns a JSON object for the record's list of entries.
std::string encodeEntry(const entry &e);

/// Joins entries that were encoded by encodeEntry() into a record's payload.
std::string encodeRecord(const std::vector<std::string> &entries);

/// Fails with error::malformed or error::too_large; then all entries of the record are ignored.
common::result<std::vector<entry>> decodeRecord(std::string_view payload);

} // namespace masticlever::ledger::detail
