#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What the heads of requests and answers say, in the project's own types.

namespace masticlever::protocol
{

/// One part of a prompt; requests that share their leading parts share what an endpoint has cached of them.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

struct request_attributes {
    std::string requestId; ///< of this attempt of the caller
    std::string apiKey; ///< empty: none sent
    std::optional<common::duration> deadline; ///< how long the caller waits
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< at most
    std::vector<prompt_part> prompt;
    std::vector<std::size_t> pieces; ///< number of results wanted from each stage; 0: the stage is left out
    std::string pieceKey; ///< input of the stages that come first
    std::optional<std::uint64_t> resumeAfter; ///< last event that the caller has
};

struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

struct answer_attributes {
    std::optional<std::string> requestId; ///< echoed by the endpoint
    std::string endpointId; ///< of the endpoint that answered, where it says so
    bool provesNotRun = false;
    bool hasSignature = false; ///< the endpoint's digest of the body
    bool isLeaving = false; ///< the endpoint wants no new work from anyone
    std::optional<common::duration> quietFor; ///< the endpoint, which is full, wants nothing from this instance
    bool isQuietUnreadable = false; ///< it names a time for that which cannot be read
    std::optional<load_report> load;
    std::optional<common::duration> idleLimit; ///< after which the endpoint closes an idle connection
};

/// What the daemon adds to a request before it goes to an endpoint.
struct forward_options {
    std::string endpointId; ///< any other endpoint refuses the request
    std::string team; ///< empty: none
    common::duration remaining{}; ///< time left for the request
    std::vector<std::string> inputs; ///< handles of the results of the final stages
    bool hasInputs = false;
    std::optional<std::uint64_t> resumeAfter;
    std::optional<int> priority; ///< 0 is the most urgent, 9 the least
};

enum class piece_failure { late, input_gone, no_room, failed };

struct piece_result {
    std::string handle; ///< empty: it failed
    piece_failure failure = piece_failure::failed;
};

/// One piece to be made; \c key for stages that come first, \c inputs for the others.
struct piece_order {
    std::string requestId;
    std::size_t stage = 0;
    std::size_t piece = 0;
    common::duration remaining{};
    std::string key;
    std::vector<std::string> inputs;
};

} // namespace masticlever::protocol
