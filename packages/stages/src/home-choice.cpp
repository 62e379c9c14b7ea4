#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>
#include <masticlever/stages/home-choice.h>

#include <algorithm>

namespace masticlever::stages
{

namespace
{

constexpr std::uint32_t strongShare = 2; ///< strong: with no less than this part of the strongest one's processor time

} // namespace

const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates)
{
    std::uint32_t most = 0;
    for (const home_candidate &candidate : candidates) {
        most = candidate.isAvoided ? most : std::max(most, candidate.processorMillis);
    }
    const std::uint64_t key = common::stableHash(service);
    const home_candidate *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const home_candidate &candidate : candidates) {
        const bool isChoice = !candidate.isAvoided && candidate.processorMillis >= most / strongShare;
        const std::uint64_t rank = common::rendezvousRank(key, candidate.rankKey);
        if (isChoice && (best == nullptr || rank > bestRank)) {
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
