#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Actions that a run requests from its host, and the results of endpoint calls.

namespace masticlever::runs
{

/// Sends a stage call to an endpoint as a POST.
struct send_call {
    common::call_id id;
    std::uint32_t stage = 0;
    std::string stageName;
    std::string endpoint; ///< name of the resource
    std::string address; ///< "IP:port"
    std::string path;
    std::string body; ///< JSON
    std::string idempotencyKey; ///< set for a non-repeatable stage only; such a call must not be sent twice
    std::uint64_t fencing = 0; ///< set for a non-repeatable stage only
    bool streamed = false;
    int priority = 0;
    common::duration remaining{}; ///< time until the deadline
};

/// Sends an idempotent GET that asks an endpoint whether a non-repeatable call has run.
struct query_status {
    common::call_id id;
    std::string endpoint;
    std::string address;
    std::string path;
    std::string idempotencyKey;
    std::uint64_t fencing = 0;
};

/// Cancels a call whose answer is no longer needed.
struct cancel_call {
    common::call_id id;
};

/// Forwards text to a caller that requested a stream.
struct stream_text {
    std::string text;
};

enum class disposition {
    answered, ///< the answer is complete
    not_run, ///< no non-repeatable call was sent and none will be
    failed, ///< no answer; only repeatable stages may have run
    unknown, ///< a non-repeatable stage may have run
    conflict, ///< the key was used with another body
};

/// "answered", "not_run", "failed", "unknown" or "conflict".
std::string_view toString(disposition outcome);

/// The outcome for the caller, sent as soon as it is known.
struct reply {
    disposition outcome = disposition::failed;
    std::string result; ///< JSON, or the complete text of a streamed answer
    bool isText = false;
    bool replayed = false; ///< the answer was read from the ledger
    std::string detail; ///< one sentence for the problem document
    common::duration retryAfter{}; ///< 0: the caller should not retry
};

using action = std::variant<send_call, query_status, cancel_call, stream_text, reply>;

enum class call_status {
    answered,
    refused, ///< the endpoint reports that it did not run the call
    unsent, ///< no byte of the call left this instance
    failed, ///< error answer or lost connection; the call may have run
    invalid, ///< wrong call id, wrong digest or truncated answer; the call may have run
};

struct call_end {
    call_status status = call_status::failed;
    std::string body; ///< JSON answer of an unstreamed call or a status query
    common::duration retryAfter{};
};

} // namespace masticlever::runs
