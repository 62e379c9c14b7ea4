#include <masticlever/forwarding/endpoint-choice.h>

#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticlever::forwarding
{

using common::instant;

namespace
{

/// Weighted rendezvous hashing: the lowest rank wins, and endpoints win in proportion to their weight.
double weightedRank(std::uint64_t key, const catalog::endpoint_record &record, const data_centre_weights &weights)
{
    constexpr double range = 18446744073709551616.0; // 2 to the power of 64
    const auto hash = static_cast<double>(common::rendezvousRank(key, common::stableHash(record.id)));
    const auto weight = weights.find(record.dataCentre);
    return -std::log((hash + 1) / (range + 1)) / (weight == weights.end() ? 1.0 : weight->second);
}

} // namespace

std::string_view affinityKey(const protocol::request_attributes &request)
{
    if (request.prompt.empty()) {
        return {};
    }
    return request.prompt[request.prompt.size() > 1 ? request.prompt.size() - 2 : 0].id;
}

const endpoint_choice::endpoint_state *endpoint_choice::find(std::string_view id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

std::size_t endpoint_choice::inFlight(std::string_view id) const
{
    const endpoint_state *state = find(id);
    return state == nullptr ? 0 : state->inFlight;
}

bool endpoint_choice::isBackingOff(std::string_view id, common::instant now) const
{
    const endpoint_state *state = find(id);
    return state != nullptr && now < state->backoffUntil;
}

/// The endpoint with the lowest rank is assumed to have the shared parts cached; any other has to process them again.
void endpoint_choice::addCosts(std::vector<candidate> &candidates, const protocol::request_attributes &request,
                               const placement &place) const
{
    constexpr double bytesPerMegabyte = 1e6;
    double shared = 0;
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        shared += static_cast<double>(request.prompt[i].tokens);
    }
    const auto cached = std::ranges::min_element(candidates, {}, &candidate::rank);
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        it->cost = it == cached ? 0 : shared;
        for (const auto &[dataCentre, bytes] : place.inputs) {
            it->cost
                += dataCentre == it->record->dataCentre ? 0 : bytes / bytesPerMegabyte * m_options.tokensPerMegabyte;
        }
    }
}

std::string endpoint_choice::choose(std::span<const catalog::endpoint_record *const> endpoints,
                                    std::span<const std::string> excluded, const protocol::request_attributes &request,
                                    const placement &place, common::instant now, common::random_source &random)
{
    const std::string_view part = affinityKey(request);
    const std::uint64_t key = part.empty() ? 0 : common::stableHash(part);
    std::vector<candidate> candidates;
    std::size_t total = 0;
    for (const catalog::endpoint_record *record : endpoints) {
        if (std::ranges::find(excluded, record->id) != excluded.end()) {
            continue;
        }
        const endpoint_state *state = find(record->id);
        candidate added;
        added.record = record;
        added.inFlight = state == nullptr ? 0 : state->inFlight;
        added.tieBreak = random.next();
        added.isUnhealthy
            = state != nullptr && (now < state->backoffUntil || state->failureRate > m_options.maxFailureRate);
        added.rank = part.empty() ? 0 : weightedRank(key, *record, place.weights);
        total += added.inFlight;
        candidates.push_back(added);
    }
    if (candidates.empty()) {
        return {};
    }
    addCosts(candidates, request, place);
    const double mean = static_cast<double>(total) / static_cast<double>(candidates.size());
    const double bound = mean * m_options.loadBoundFactor + static_cast<double>(m_options.loadBoundSlack);
    const auto order = [&](const candidate &c) {
        const bool isOverBound = part.empty() || static_cast<double>(c.inFlight) > bound;
        const bool isRemote = c.record->dataCentre != place.dataCentre;
        // Above the bound the fewest requests in flight win, and the own data centre breaks ties.
        return std::tuple(c.isUnhealthy, isOverBound, isOverBound ? c.inFlight : 0, isOverBound && isRemote, c.cost,
                          c.rank, c.tieBreak);
    };
    const auto best = std::ranges::min_element(
        candidates, [&](const candidate &left, const candidate &right) { return order(left) < order(right); });
    return best->record->id;
}

/// Each instance learns the same from the same reports, so that all hash a part to the same endpoint.
double endpoint_choice::learnPace(endpoint_state &state, const routing::endpoint_view &view, instant now) const
{
    constexpr double learningSeconds = 10; // slow moments of 0.6 s do not move parts to another endpoint
    const double elapsed = std::chrono::duration<double>(now - state.paceLearntAt).count();
    state.usualPace += (view.pace - state.usualPace) * (1 - std::exp(-std::max(0.0, elapsed) / learningSeconds));
    state.paceLearntAt = now;
    return state.usualPace;
}

std::vector<cost_candidate> endpoint_choice::costCandidates(std::span<const catalog::endpoint_record *const> endpoints,
                                                            std::span<const std::string> excluded,
                                                            std::string_view part, const placement &place, instant now,
                                                            common::random_source &random)
{
    const std::uint64_t key = part.empty() ? 0 : common::stableHash(part);
    std::vector<cost_candidate> candidates;
    bool isAnyKnown = false;
    for (const catalog::endpoint_record *record : endpoints) {
        if (std::ranges::find(excluded, record->id) != excluded.end()) {
            continue;
        }
        cost_candidate added;
        added.record = record;
        added.view = place.views->view(record->id);
        if (added.view.isKnown) {
            isAnyKnown = true;
            added.usualPace = learnPace(m_endpoints[record->id], added.view, now);
        }
        if (const endpoint_state *state = find(record->id); state != nullptr) {
            added.inFlight = state->inFlight;
            added.tokens = state->tokens;
            added.usualPace = state->usualPace;
            added.isUnhealthy = now < state->backoffUntil || state->failureRate > m_options.maxFailureRate;
        }
        for (const auto &[dataCentre, bytes] : place.inputs) {
            added.remoteBytes += dataCentre == record->dataCentre ? 0 : bytes;
        }
        added.rank = part.empty()
            ? 0
            : weightedRank(key, *record, place.weights) * std::pow(added.usualPace, m_options.cost.paceExponent);
        added.tieBreak = random.next();
        candidates.push_back(added);
    }
    return isAnyKnown ? candidates : std::vector<cost_candidate>();
}

chosen_endpoint endpoint_choice::select(std::span<const catalog::endpoint_record *const> endpoints,
                                        std::span<const std::string> excluded,
                                        const protocol::request_attributes &request, const placement &place,
                                        instant now, common::random_source &random)
{
    if (place.views != nullptr) {
        const std::string_view part = affinityKey(request);
        std::vector<cost_candidate> candidates = costCandidates(endpoints, excluded, part, place, now, random);
        if (!candidates.empty()) {
            const auto first = std::ranges::min_element(candidates, {}, &cost_candidate::rank) - candidates.begin();
            const std::size_t best
                = cheapest(candidates, request, place.views->cacheTokens, !excluded.empty(), m_options.cost);
            if (best == candidates.size()) {
                return {};
            }
            const bool isCached = static_cast<std::size_t>(first) == best && !part.empty();
            return {candidates[best].record->id, tokensOf(request, isCached)};
        }
    }
    const call_tokens tokens = tokensOf(request, false);
    if (place.views == nullptr || place.views->cacheTokens == 0) {
        return {choose(endpoints, excluded, request, place, now, random), tokens};
    }
    std::vector<const catalog::endpoint_record *> roomy(endpoints.begin(), endpoints.end());
    std::erase_if(roomy, [&](const catalog::endpoint_record *record) {
        const endpoint_state *state = find(record->id);
        const double held = state == nullptr ? 0 : state->tokens.held;
        return !hasRoom({}, held, tokens.held, place.views->cacheTokens, m_options.cost);
    });
    return {choose(roomy, excluded, request, place, now, random), tokens};
}

void endpoint_choice::onCallBegins(const std::string &id, const call_tokens &tokens)
{
    endpoint_state &state = m_endpoints[id];
    ++state.inFlight;
    state.tokens.pending += tokens.pending;
    state.tokens.held += tokens.held;
}

void endpoint_choice::onCallAnswers(const std::string &id, call_tokens &tokens)
{
    m_endpoints[id].tokens.pending -= tokens.pending;
    tokens.pending = 0;
}

void endpoint_choice::onCallEnds(const std::string &id, call_outcome outcome, common::instant now,
                                 const call_tokens &tokens)
{
    endpoint_state &state = m_endpoints[id];
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.tokens.pending -= tokens.pending;
    state.tokens.held -= tokens.held;
    if (state.inFlight == 0) {
        state.tokens = {};
    }
    if (outcome == call_outcome::rejected_with_delay) {
        return;
    }
    const bool isUnsuccessful = outcome != call_outcome::answered;
    const double sample = isUnsuccessful && outcome != call_outcome::rejected ? 1.0 : 0.0;
    state.failureRate += m_options.learningRate * (sample - state.failureRate);
    if (!isUnsuccessful) {
        state.consecutiveFailures = 0;
        return;
    }
    ++state.consecutiveFailures;
    const bool backsOff
        = outcome == call_outcome::unreachable || state.consecutiveFailures >= m_options.failuresToBackOff;
    if (backsOff) {
        const auto exponent = static_cast<double>(std::min<std::size_t>(state.consecutiveFailures, 6)) - 1;
        const auto backoff
            = std::min(m_options.maxBackoff, common::scaled(m_options.initialBackoff, std::pow(2.0, exponent)));
        state.backoffUntil = now + backoff;
    }
}

void endpoint_choice::forget(std::string_view id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end() && found->second.inFlight == 0) {
        m_endpoints.erase(found);
    }
}

} // namespace masticlever::forwarding
