#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>
#include <masticlever/stages/home-choice.h>

#include <algorithm>

namespace masticlever::stages
{

namespace
{

constexpr std::uint32_t strongDivisor = 2; ///< strong candidates have at least 1/strongDivisor of the maximum

struct resources {
    std::uint32_t cpuMillicores = 0;
    std::uint32_t linkMbps = 0;
};

/// Minimum resources of a strong candidate. If no candidate has both minimums, only processor time counts.
resources minimumResources(std::span<const home_candidate> candidates)
{
    resources minimum;
    for (const home_candidate &candidate : candidates) {
        if (!candidate.isAvoided) {
            minimum.cpuMillicores = std::max(minimum.cpuMillicores, candidate.cpuMillicores / strongDivisor);
            minimum.linkMbps = std::max(minimum.linkMbps, candidate.linkMbps / strongDivisor);
        }
    }
    const bool isAnyStrong = std::ranges::any_of(candidates, [&](const home_candidate &candidate) {
        return !candidate.isAvoided && candidate.cpuMillicores >= minimum.cpuMillicores
            && candidate.linkMbps >= minimum.linkMbps;
    });
    return isAnyStrong ? minimum : resources{minimum.cpuMillicores, 0};
}

} // namespace

const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates)
{
    const resources minimum = minimumResources(candidates);
    const std::uint64_t key = common::stableHash(service);
    const home_candidate *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const home_candidate &candidate : candidates) {
        const bool isStrong
            = candidate.cpuMillicores >= minimum.cpuMillicores && candidate.linkMbps >= minimum.linkMbps;
        const std::uint64_t rank = common::rendezvousRank(key, candidate.rankKey);
        if (!candidate.isAvoided && isStrong && (best == nullptr || rank > bestRank)) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<home_candidate> unavailable_homes::choose(std::string_view service,
                                                        std::vector<home_candidate> candidates, std::string_view self,
                                                        common::instant now) const
{
    for (home_candidate &candidate : candidates) {
        const auto found = m_until.find(candidate.address);
        candidate.isAvoided = candidate.incarnation != self && found != m_until.end() && now < found->second;
    }
    const home_candidate *home = chooseHome(service, candidates);
    return home == nullptr ? std::nullopt : std::optional(*home);
}

} // namespace masticlever::stages
