#pragma once

#include <masticlever/common/time.h>
#include <masticlever/protocol/handle-list.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Contents of request and response heads, independent of the platform's wire format.

namespace masticlever::protocol
{

/// A part of a prompt. Requests with the same leading parts share the cache entries of these parts on an endpoint.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

struct request_attributes {
    std::string requestId; ///< identifies this attempt of the caller
    std::string apiKey; ///< empty if the request has none
    std::optional<common::duration> deadline; ///< remaining time that the caller waits
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< upper limit
    std::vector<prompt_part> prompt;
    std::vector<std::size_t> pieces; ///< number of results requested from each stage; 0 skips the stage
    std::string pieceKey; ///< input of the stages that depend on no other stage
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event that the caller received
};

struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    std::optional<double> pace; ///< time that work takes there now, relative to the usual time; 2: twice as long
};

struct answer_attributes {
    std::optional<std::string> requestId; ///< echoed by the endpoint
    std::string endpointId; ///< id of the endpoint that responded; empty if not given
    bool isNotExecuted = false; ///< guarantees that the request was not executed
    bool hasSignature = false; ///< the endpoint sent a digest of the body
    bool isLeaving = false; ///< the endpoint accepts no new work from any instance
    std::optional<common::duration> pauseFor; ///< duration of the requested pause of an overloaded endpoint
    bool isRetryAfterMalformed = false; ///< the endpoint requests a pause, but its duration is malformed
    std::optional<double> rateLimit; ///< requests per second that the endpoint accepts from all instances together
    bool isRateLimitMalformed = false; ///< the endpoint states a rate limit that cannot be read
    std::optional<load_report> load;
    bool isLoadMalformed = false; ///< the endpoint reports a load that cannot be read
    std::optional<common::duration> idleLimit; ///< time after which the endpoint closes an idle connection
};

/// Information that the daemon adds to a request when it forwards it to an endpoint.
struct forward_options {
    std::string endpointId; ///< any other endpoint rejects the request
    std::string team; ///< empty if there is none
    common::duration remaining{}; ///< time left for the request
    std::vector<std::string> inputs; ///< handles of the results of the final stages
    bool hasInputs = false;
    std::optional<std::uint64_t> resumeAfter;
    std::optional<int> priority; ///< 0 is the most urgent, 9 the least
};

enum class piece_failure {
    late, ///< the deadline of the request passed
    input_gone, ///< the result of an earlier stage that it reads no longer exists
    capacity_exhausted, ///< the endpoint has no memory left for the result
    failed
};

struct piece_result {
    std::string handle; ///< identifies the result on its endpoint; empty if the piece failed
    piece_failure failure = piece_failure::failed;
};

/// A piece to be computed. Its input is \c key for stages that depend on no other stage, otherwise \c inputs.
struct batch_item {
    std::string requestId;
    std::size_t stage = 0;
    std::size_t piece = 0;
    common::duration remaining{};
    std::string key;
    handle_list inputs; ///< results of earlier stages
};

} // namespace masticlever::protocol
