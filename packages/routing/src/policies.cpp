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

constexpr double affinityOverload = 1.0; ///< times the mean utilisation that an affine endpoint may have
constexpr double affinityFreeUtilisation = 0.7; ///< up to this an affine endpoint is always taken
constexpr std::size_t prefixBytes = 256;

struct index_pair {
    std::size_t first = 0;
    std::size_t second = 0;
};

/// Two different positions below \p count, which is at least 2.
index_pair drawTwo(std::size_t count, std::uint64_t random)
{
    constexpr unsigned half = 32;
    index_pair drawn;
    drawn.first = (random & 0xFFFFFFFFU) % count;
    drawn.second = (random >> half) % (count - 1);
    if (drawn.second >= drawn.first) {
        ++drawn.second;
    }
    return drawn;
}

/// Utilisation with one call more, from this instance's calls only.
double ownScore(const candidate &endpoint)
{
    const double capacity = static_cast<double>(endpoint.slots) * endpoint.startWeight;
    return (static_cast<double>(endpoint.inFlight) + 1) / capacity;
}

double agedScore(const candidate &endpoint, double usual, common::instant now)
{
    const double capacity = static_cast<double>(endpoint.slots) * endpoint.startWeight;
    return (detail::agedLoad(endpoint, usual, now) + 1) / capacity;
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
        // Instances that scan from the same position would all load the same endpoint.
        const std::size_t start = request.random % candidates.size();
        std::size_t best = start;
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const std::size_t index = (start + step) % candidates.size();
            if (ownScore(candidates[index]) < ownScore(candidates[best])) {
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
        const index_pair drawn = drawTwo(candidates.size(), request.random);
        return ownScore(candidates[drawn.second]) < ownScore(candidates[drawn.first]) ? drawn.second : drawn.first;
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
        const index_pair drawn = drawTwo(candidates.size(), request.random);
        const double usual = detail::usualOthers(candidates, request.now);
        const double first = agedScore(candidates[drawn.first], usual, request.now);
        const double second = agedScore(candidates[drawn.second], usual, request.now);
        return second < first ? drawn.second : drawn.first;
    }
};

/// Rendezvous hash on the prompt prefix; the two highest ranks are taken unless they are loaded far above the mean.
class prefix_affinity_policy : public choice_policy
{
public:
    std::size_t choose(std::span<const candidate> candidates, const choice_request &request) override
    {
        if (request.prefixHash == 0 || candidates.size() == 1) {
            return m_fallback.choose(candidates, request);
        }
        const double usual = detail::usualOthers(candidates, request.now);
        const double bound = loadBound(candidates, usual, request.now);
        const index_pair best = highestRanks(candidates, request.prefixHash);
        for (const std::size_t index : {best.first, best.second}) {
            const candidate &endpoint = candidates[index];
            if (detail::agedLoad(endpoint, usual, request.now) <= bound * static_cast<double>(endpoint.slots)) {
                return index;
            }
        }
        return m_fallback.choose(candidates, request);
    }

private:
    /// Utilisation up to which an affine endpoint is taken.
    static double loadBound(std::span<const candidate> candidates, double usual, common::instant now)
    {
        double load = 0;
        double slots = 0;
        for (const candidate &endpoint : candidates) {
            load += detail::agedLoad(endpoint, usual, now);
            slots += static_cast<double>(endpoint.slots);
        }
        return std::max(affinityFreeUtilisation, affinityOverload * load / slots);
    }

    static index_pair highestRanks(std::span<const candidate> candidates, std::uint64_t prefix)
    {
        index_pair best;
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::uint64_t own = common::rendezvousRank(prefix, candidates[i].nameHash);
            if (own >= first) {
                second = first;
                best.second = best.first;
                first = own;
                best.first = i;
            } else if (own >= second) {
                second = own;
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
