#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Which instance is the home of a service: the one queue in which all of its pieces meet.

namespace masticlever::stages
{

struct home_candidate {
    std::string incarnation;
    std::string address; ///< of its home service, "IP:port"
    std::uint64_t rankKey = 0; ///< stable hash of the incarnation
    bool isAvoided = false; ///< silent here of late
};

/// The candidate that a rendezvous hash prefers among those that are not avoided; nullptr when there is none.
/// Instances with the same view choose the same one, and a change of the fleet moves few services.
const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates);

} // namespace masticlever::stages
