#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/routing/endpoint-view.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// What sending a request to a model endpoint costs, in milliseconds of a caller's time, from this instance's own calls
/// and the reports of all others; and the choice by this cost.

namespace masticlever::forwarding
{

/// Tokens of a call by which it burdens its endpoint.
struct call_tokens {
    double pending = 0; ///< prompt tokens to process before the first answer
    double held = 0; ///< prompt and expected output
};

struct endpoint_cost_options {
    double tokensPerMs = 31; ///< prompt tokens that an endpoint processes at usual speed
    /// Time for processing shared parts again counts this often more: it delays all requests at the endpoint and has a
    /// price for the operators. From 3 to 8, fewer requests were late in the simulation; above 8, no fewer.
    double reprocessingPrice = 8;
    double tokensPerMegabyte = 330; ///< as in endpoint_choice_options
    double msPerRunning = 4; ///< delay of a request by each other one that runs at the endpoint
    double msPerExcess = 60; ///< wait for each request above the endpoint's slots
    /// Cost of a failure: the objective, as the request begins again elsewhere; shared parts count besides, as they are
    /// processed again there.
    double failureMs = 1400;
    double repeatFactor = 4; ///< a failure costs this often more where the request has failed at another endpoint
    double doubtfulEvidence = 2; ///< this many reporters of failures count half
    /// The share of parts that are hashed to an endpoint falls with this power of its usual pace.
    double paceExponent = 1;
    double halfLifeMs = 1000; ///< age at which a report counts half
    /// Share of an endpoint's memory that known requests may fill; the rest is for those that no report counts yet and
    /// for an instance without reports, which may fill \c unseenShare of it.
    double memoryShare = 0.7;
    double unseenShare = 0.15;
    /// The endpoints to which the prompt's shared parts are hashed first are considered, the first of which is taken
    /// to have them cached, and some at random, so that instances which choose at the same moment choose differently.
    std::size_t hashedChoices = 3;
    std::size_t randomChoices = 2;
};

struct cost_candidate {
    const catalog::endpoint_record *record = nullptr;
    routing::endpoint_view view;
    std::size_t inFlight = 0; ///< own requests
    call_tokens tokens; ///< of own requests
    double usualPace = 1; ///< learnt over a longer time
    double remoteBytes = 0; ///< inputs of the request that other data centres hold
    bool isUnhealthy = false; ///< by own experience; used last
    double rank = 0; ///< weighted rendezvous rank for the shared parts; the lowest wins
    std::uint64_t tieBreak = 0; ///< random
};

/// Tokens by which \p request burdens an endpoint, depending on whether its shared parts are cached there.
call_tokens tokensOf(const protocol::request_attributes &request, bool isCached);

/// Cost in milliseconds of sending a request to \p candidate; \p isRepeat if it has been sent elsewhere before.
double costOf(const cost_candidate &candidate, const protocol::request_attributes &request, bool isCached,
              bool isRepeat, const endpoint_cost_options &options);

/// Whether an endpoint with a memory of \p cacheTokens (0 if not known) can hold \p needed more tokens as far as is
/// known; \p own are the tokens of this instance's requests there.
bool hasRoom(const routing::endpoint_view &view, double own, double needed, std::uint64_t cacheTokens,
             const endpoint_cost_options &options);

/// Returns the index of the candidate to use; \p cacheTokens is an endpoint's memory, 0 if not known. Returns the
/// number of candidates if none has memory left for the request.
std::size_t cheapest(std::vector<cost_candidate> &candidates, const protocol::request_attributes &request,
                     std::uint64_t cacheTokens, bool isRepeat, const endpoint_cost_options &options);

} // namespace masticlever::forwarding
