#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// What a run asks of its host, and what comes back from an endpoint.

namespace masticlever::runs
{

/// POST to an endpoint.
struct send_call {
    common::call_id id;
    std::uint32_t stage = 0;
    std::string stageName;
    std::string endpoint; ///< name of the resource
    std::string address; ///< "IP:port"
    std::string path;
    std::string body; ///< JSON
    std::string idempotencyKey; ///< of a non-repeatable stage; such a call must not be sent twice
    std::uint64_t fencing = 0; ///< of a non-repeatable stage
    bool streamed = false;
    int priority = 0;
    common::duration remaining{};
};

/// Idempotent GET that asks an endpoint whether a non-repeatable call has run.
struct query_status {
    common::call_id id;
    std::string endpoint;
    std::string address;
    std::string path;
    std::string idempotencyKey;
    std::uint64_t fencing = 0;
};

/// Nobody waits for this call any more.
struct cancel_call {
    common::call_id id;
};

/// Text for a caller that asked for a stream.
struct stream_text {
    std::string text;
};

enum class disposition {
    answered, ///< the whole answer
    not_run, ///< nothing non-repeatable was sent and nothing will be
    failed, ///< no answer; what ran is idempotent
    unknown, ///< a non-repeatable stage may have run
    conflict, ///< the key was used with another body
};

/// "answered", "not_run", "failed", "unknown" or "conflict".
std::string_view toString(disposition outcome);

/// The outcome for the caller, sent the moment it is known.
struct reply {
    disposition outcome = disposition::failed;
    std::string result; ///< JSON, or the whole text of a streamed answer
    bool isText = false;
    bool replayed = false; ///< from the ledger
    std::string detail; ///< one sentence for a problem document
    common::duration retryAfter{}; ///< 0: asking again makes no sense
};

using action = std::variant<send_call, query_status, cancel_call, stream_text, reply>;

enum class call_status {
    answered,
    refused, ///< the endpoint says that it did not run the call
    unsent, ///< no byte of the call left this instance
    failed, ///< error answer or connection lost; may have run
    invalid, ///< wrong call id, wrong digest, or cut; may have run
};

struct call_end {
    call_status status = call_status::failed;
    std::string body; ///< JSON of a plain answer or status query
    common::duration retryAfter{};
};

} // namespace masticlever::runs
