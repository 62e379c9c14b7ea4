#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>
#include <masticlever/stages/home-choice.h>

namespace masticlever::stages
{

const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates)
{
    const std::uint64_t key = common::stableHash(service);
    const home_candidate *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const home_candidate &candidate : candidates) {
        const std::uint64_t rank = common::rendezvousRank(key, candidate.rankKey);
        if (!candidate.isAvoided && (best == nullptr || rank > bestRank)) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace masticlever::stages
