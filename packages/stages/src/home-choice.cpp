#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>
#include <masticlever/stages/home-choice.h>

#include <algorithm>

namespace masticlever::stages
{

namespace
{

constexpr std::uint32_t strongShare = 2; ///< strong: with no less than this part of what the strongest one has

struct strength {
    std::uint32_t processorMillis = 0;
    std::uint32_t linkMbps = 0;
};

/// The least that a strong candidate has. When none has both, processor time decides alone.
strength leastStrong(std::span<const home_candidate> candidates)
{
    strength least;
    for (const home_candidate &candidate : candidates) {
        if (!candidate.isAvoided) {
            least.processorMillis = std::max(least.processorMillis, candidate.processorMillis / strongShare);
            least.linkMbps = std::max(least.linkMbps, candidate.linkMbps / strongShare);
        }
    }
    const bool hasBoth = std::ranges::any_of(candidates, [&](const home_candidate &candidate) {
        return !candidate.isAvoided && candidate.processorMillis >= least.processorMillis
            && candidate.linkMbps >= least.linkMbps;
    });
    return hasBoth ? least : strength{least.processorMillis, 0};
}

} // namespace

const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates)
{
    const strength least = leastStrong(candidates);
    const std::uint64_t key = common::stableHash(service);
    const home_candidate *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const home_candidate &candidate : candidates) {
        const bool isStrong
            = candidate.processorMillis >= least.processorMillis && candidate.linkMbps >= least.linkMbps;
        const std::uint64_t rank = common::rendezvousRank(key, candidate.rankKey);
        if (!candidate.isAvoided && isStrong && (best == nullptr || rank > bestRank)) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<home_candidate> avoided_homes::choose(std::string_view service, std::vector<home_candidate> candidates,
                                                    std::string_view self, common::instant now) const
{
    for (home_candidate &candidate : candidates) {
        const auto found = m_until.find(candidate.address);
        candidate.isAvoided = candidate.incarnation != self && found != m_until.end() && now < found->second;
    }
    const home_candidate *home = chooseHome(service, candidates);
    return home == nullptr ? std::nullopt : std::optional(*home);
}

} // namespace masticlever::stages
