#include <masticlever/routing/router.h>

#include "detail/load-estimate.h"
#include <masticlever/common/rendezvous.h>

#include <masticlever/common/digest.h>

#include <algorithm>
#include <cstdlib>

namespace masticlever::routing
{

namespace
{

constexpr double affinityRelativeLoad = 1.0; ///< an affine endpoint is used up to this multiple of the mean utilisation
constexpr double affinityMinUtilisation = 0.7; ///< an affine endpoint is always used up to this utilisation
constexpr std::size_t prefixBytes = 256;

struct index_pair {
    std::size_t first = 0;
    std::size_t second = 0;
};

/// Returns two different random indices below \p count, which is at least 2.
index_pair drawTwoIndices(std::size_t count, std::uint64_t random)
{
    constexpr unsigned half = 32;
    index_pair indices;
    indices.first = (random & 0xFFFFFFFFU) % count;
    indices.second = (random >> half) % (count - 1);
    if (indices.second >= indices.first) {
        ++indices.second;
    }
    return indices;
}

/// Utilisation after one more call, counting only this instance's calls.
double localScore(const candidate &endpoint)
{
    const double capacity = static_cast<double>(endpoint.slots) * endpoint.slowStartWeight;
    return (static_cast<double>(endpoint.inFlight) + 1) / capacity;
}

/// Utilisation after one more call, counting the estimated calls of all instances.
double estimatedScore(const candidate &endpoint, double meanOfOthers, common::instant now)
{
    const double capacity = static_cast<double>(endpoint.slots) * endpoint.slowStartWeight;
    return (detail::estimatedLoad(endpoint, meanOfOthers, now) + 1) / capacity;
}

class random_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        return request.random % candidates.size();
    }
};

class round_robin_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request & /*request*/) override
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

class least_in_flight_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        // With a fixed start, all instances would choose the same one of several equally loaded endpoints.
        const std::size_t start = request.random % candidates.size();
        std::size_t best = start;
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const std::size_t index = (start + step) % candidates.size();
            if (localScore(candidates[index]) < localScore(candidates[best])) {
                best = index;
            }
        }
        return best;
    }
};

class two_choices_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        if (candidates.size() == 1) {
            return 0;
        }
        const index_pair indices = drawTwoIndices(candidates.size(), request.random);
        return localScore(candidates[indices.second]) < localScore(candidates[indices.first]) ? indices.second
                                                                                              : indices.first;
    }
};

class two_choices_aged_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        if (candidates.size() == 1) {
            return 0;
        }
        const index_pair indices = drawTwoIndices(candidates.size(), request.random);
        const double meanOfOthers = detail::meanLoadOfOthers(candidates, request.now);
        const double first = estimatedScore(candidates[indices.first], meanOfOthers, request.now);
        const double second = estimatedScore(candidates[indices.second], meanOfOthers, request.now);
        return second < first ? indices.second : indices.first;
    }
};

/// Rendezvous hashing on the prompt prefix. Uses one of the two highest ranked endpoints unless both are loaded above
/// the bound, and falls back to two choices then.
class prefix_affinity_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        if (request.prefixHash == 0 || candidates.size() == 1) {
            return m_fallback.choose(candidates, request);
        }
        const double meanOfOthers = detail::meanLoadOfOthers(candidates, request.now);
        const double bound = loadBound(candidates, meanOfOthers, request.now);
        const index_pair best = highestRanks(candidates, request.prefixHash);
        for (const std::size_t index : {best.first, best.second}) {
            const candidate &endpoint = candidates[index];
            if (detail::estimatedLoad(endpoint, meanOfOthers, request.now)
                <= bound * static_cast<double>(endpoint.slots)) {
                return index;
            }
        }
        return m_fallback.choose(candidates, request);
    }

private:
    /// Utilisation up to which an affine endpoint is used.
    static double loadBound(std::span<const candidate> candidates, double meanOfOthers, common::instant now)
    {
        double load = 0;
        double slots = 0;
        for (const candidate &endpoint : candidates) {
            load += detail::estimatedLoad(endpoint, meanOfOthers, now);
            slots += static_cast<double>(endpoint.slots);
        }
        return std::max(affinityMinUtilisation, affinityRelativeLoad * load / slots);
    }

    static index_pair highestRanks(std::span<const candidate> candidates, std::uint64_t prefix)
    {
        index_pair best;
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::uint64_t rank = common::rendezvousRank(prefix, candidates[i].nameHash);
            if (rank >= first) {
                second = first;
                best.second = best.first;
                first = rank;
                best.first = i;
            } else if (rank >= second) {
                second = rank;
                best.second = i;
            }
        }
        return best;
    }

    two_choices_aged_policy m_fallback;
};

} // namespace

std::unique_ptr<choice_policy> makePolicy(policy_kind kind)
{
    switch (kind) {
    case policy_kind::random:
        return std::make_unique<random_policy>();
    case policy_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case policy_kind::least_in_flight:
        return std::make_unique<least_in_flight_policy>();
    case policy_kind::two_choices:
        return std::make_unique<two_choices_policy>();
    case policy_kind::two_choices_aged:
        return std::make_unique<two_choices_aged_policy>();
    case policy_kind::prefix_affinity:
        return std::make_unique<prefix_affinity_policy>();
    }
    std::abort();
}

std::uint64_t hashPrefix(std::string_view prompt)
{
    const std::uint64_t hash = common::stableHash(prompt.substr(0, prefixBytes));
    return hash == 0 ? 1 : hash;
}

} // namespace masticlever::routing
