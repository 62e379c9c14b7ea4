#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/random-source.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Which endpoint a request goes to: one that has its prompt's shared parts in its cache while it is not busier than
/// its equals, else the least busy one. Endpoints that fail more than their equals rest for a while.

namespace masticlever::forwarding
{

struct endpoint_choice_options {
    /// An endpoint keeps getting requests for its cached parts while its requests are at most this factor of the
    /// mean over the service's endpoints, and \c freeRequests more.
    double boundFactor = 1.25;
    std::size_t freeRequests = 2;
    std::size_t failuresToRest = 2; ///< in a row
    common::duration firstRest = std::chrono::milliseconds(500); ///< doubles with each further failure
    common::duration longestRest = std::chrono::seconds(8);
    double learningRate = 0.1; ///< weight of one outcome in the share of failures
    double failureShareToAvoid = 0.25; ///< endpoints above it come after the others
    /// Prompt tokens that may as well be read again as a megabyte of inputs moved between data centres; from the
    /// prices that the operators put on both.
    double tokensPerMegabyte = 330;
};

enum class call_outcome {
    answered,
    failed,
    unreachable,
    rejected,
    postponed, ///< rejected by an endpoint that named a time: says nothing of its health
};

/// Shares of the requests that the data centres should get; those not named get a weight of 1.
using data_centre_weights = std::map<std::string, double, std::less<>>;

/// Bytes of a request's inputs by the data centre that holds them.
using data_centre_bytes = std::map<std::string, double, std::less<>>;

/// What a choice depends on beside the request's prompt.
struct placement {
    std::string_view dataCentre; ///< of this instance
    const data_centre_weights &weights;
    const data_centre_bytes &inputs;
};

class endpoint_choice
{
public:
    explicit endpoint_choice(endpoint_choice_options options) : m_options(options) { }

    /// \p excluded are endpoints that this request has been to. Empty when there is none.
    std::string choose(std::span<const catalog::endpoint_record *const> endpoints,
                       std::span<const std::string> excluded, const protocol::request_attributes &request,
                       const placement &place, common::instant now, common::random_source &random);

    void onCallBegins(const std::string &id) { ++m_endpoints[id].inFlight; }
    void onCallEnds(const std::string &id, call_outcome outcome, common::instant now);
    void forget(std::string_view id);

    std::size_t inFlight(std::string_view id) const;
    bool isResting(std::string_view id, common::instant now) const;

private:
    struct endpoint_state {
        std::size_t inFlight = 0;
        std::size_t failuresInRow = 0;
        double failureShare = 0;
        common::instant restsUntil;
    };

    struct candidate {
        const catalog::endpoint_record *record = nullptr;
        std::size_t inFlight = 0;
        bool isAvoided = false;
        double rank = 0; ///< for the prompt's shared parts, least first
        double cost = 0; ///< tokens to be read again, or their equal in bytes to be moved
        std::uint64_t tieBreak = 0;
    };

    const endpoint_state *find(std::string_view id) const;
    void addCosts(std::vector<candidate> &candidates, const protocol::request_attributes &request,
                  const placement &place) const;

    endpoint_choice_options m_options;
    std::map<std::string, endpoint_state, std::less<>> m_endpoints;
};

/// The part of a prompt by which requests are kept together: its last part belongs to one request or session.
std::string_view affinityPart(const protocol::request_attributes &request);

} // namespace masticlever::forwarding
