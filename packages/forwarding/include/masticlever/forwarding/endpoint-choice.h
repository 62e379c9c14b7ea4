#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/random-source.h>
#include <masticlever/common/time.h>
#include <masticlever/forwarding/endpoint-cost.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/routing/endpoint-view.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Chooses the endpoint for a request. Consistent hashing with bounded loads prefers the endpoint that has the shared
/// parts of the prompt in its cache; above the bound the endpoint with the fewest requests in flight is chosen.
/// Endpoints in backoff after failures or with a high failure rate are used last.

namespace masticlever::forwarding
{

struct endpoint_choice_options {
    /// An endpoint gets requests for its cached parts while its requests in flight are at most this factor times the
    /// mean over the service's endpoints, plus \c loadBoundSlack.
    double loadBoundFactor = 1.25;
    std::size_t loadBoundSlack = 2;
    std::size_t failuresToBackOff = 2; ///< consecutive failures
    common::duration initialBackoff = std::chrono::milliseconds(500); ///< doubles with each further failure
    common::duration maxBackoff = std::chrono::seconds(8);
    double learningRate = 0.1; ///< weight of one outcome in the moving average of the failure rate
    double maxFailureRate = 0.25; ///< endpoints above it are used last
    /// Number of prompt tokens whose repeated processing costs as much as transferring a megabyte of inputs between
    /// data centres, by the operators' prices for both.
    double tokensPerMegabyte = 330;
    endpoint_cost_options cost; ///< for services whose load is shared
};

enum class call_outcome {
    answered,
    failed,
    unreachable,
    rejected,
    rejected_with_delay, ///< rejected with a time to retry after; does not count as a failure
};

/// Relative shares of the requests by data centre; others have a weight of 1.
using data_centre_weights = std::map<std::string, double, std::less<>>;

/// Bytes of a request's inputs by the data centre that stores them.
using data_centre_bytes = std::map<std::string, double, std::less<>>;

/// What the other instances reported of the endpoints of a service whose load is shared.
struct endpoint_views {
    std::function<routing::endpoint_view(std::string_view id)> view;
    std::uint64_t cacheTokens = 0; ///< tokens that an endpoint can hold; 0 if not known
};

/// What a choice depends on besides the request's prompt.
struct placement {
    std::string_view dataCentre; ///< of this instance
    const data_centre_weights &weights;
    const data_centre_bytes &inputs;
    const endpoint_views *views = nullptr; ///< null for services whose load is not shared
};

struct chosen_endpoint {
    std::string id; ///< empty if there is none
    call_tokens tokens;
};

class endpoint_choice
{
public:
    explicit endpoint_choice(endpoint_choice_options options) : m_options(options) { }

    /// Returns the id of an endpoint, or an empty string if there is none. \p excluded lists the endpoints that this
    /// request has been sent to.
    std::string choose(std::span<const catalog::endpoint_record *const> endpoints,
                       std::span<const std::string> excluded, const protocol::request_attributes &request,
                       const placement &place, common::instant now, common::random_source &random);

    /// As \c choose, with the tokens by which the request burdens the endpoint, to be handed to the functions below.
    chosen_endpoint select(std::span<const catalog::endpoint_record *const> endpoints,
                           std::span<const std::string> excluded, const protocol::request_attributes &request,
                           const placement &place, common::instant now, common::random_source &random);

    void onCallBegins(const std::string &id, const call_tokens &tokens = {});
    /// The first answer has arrived, so the prompt is processed. Sets \c pending of \p tokens to 0.
    void onCallAnswers(const std::string &id, call_tokens &tokens);
    void onCallEnds(const std::string &id, call_outcome outcome, common::instant now, const call_tokens &tokens = {});
    void forget(std::string_view id);

    std::size_t inFlight(std::string_view id) const;
    bool isBackingOff(std::string_view id, common::instant now) const;

private:
    struct endpoint_state {
        double usualPace = 1; ///< reported pace, smoothed over a longer time
        common::instant paceLearntAt;
        std::size_t inFlight = 0;
        call_tokens tokens; ///< of the calls in flight
        std::size_t consecutiveFailures = 0;
        double failureRate = 0;
        common::instant backoffUntil;
    };

    struct candidate {
        const catalog::endpoint_record *record = nullptr;
        std::size_t inFlight = 0;
        bool isUnhealthy = false; ///< in backoff, or its failure rate is too high
        double rank = 0; ///< weighted rendezvous rank for the prompt's shared parts; the lowest wins
        double cost = 0; ///< in tokens: prompt tokens to process again, plus the equivalent of bytes to transfer
        std::uint64_t tieBreak = 0;
    };

    const endpoint_state *find(std::string_view id) const;
    std::vector<cost_candidate> costCandidates(std::span<const catalog::endpoint_record *const> endpoints,
                                               std::span<const std::string> excluded, std::string_view part,
                                               const placement &place, common::instant now,
                                               common::random_source &random);
    double learnPace(endpoint_state &state, const routing::endpoint_view &view, common::instant now) const;
    void addCosts(std::vector<candidate> &candidates, const protocol::request_attributes &request,
                  const placement &place) const;

    endpoint_choice_options m_options;
    std::map<std::string, endpoint_state, std::less<>> m_endpoints;
};

/// Id of the prompt part by which requests are routed to the same endpoint: the last but one, because the last part
/// belongs to a single request or session.
std::string_view affinityKey(const protocol::request_attributes &request);

} // namespace masticlever::forwarding
