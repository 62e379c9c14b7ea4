#pragma once

#include <masticlever/common/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Chooses the home of a service: the instance that owns the only queue for the service's pieces, so that pieces of all
/// callers can be batched.

namespace masticlever::stages
{

struct home_candidate {
    std::string incarnation;
    std::string address; ///< where it listens as a home, "IP:port"
    std::uint64_t rankKey = 0; ///< stable hash of the incarnation
    std::uint32_t cpuMillicores = 0; ///< processor time limit in milliseconds per second; 0: unknown
    std::uint32_t linkMbps = 0; ///< network bandwidth of its machine in megabits per second; 0: unknown
    bool isAvoided = false; ///< recently lost or unresponsive, as seen from this instance
};

/// Chooses by rendezvous hashing among the strong candidates that are not avoided; nullptr if there are none. Strong
/// candidates have at least half of the largest processor time and bandwidth. The work of a home grows with the fleet
/// and cannot be split, while every instance serves about the same share of callers, so the instances with the most
/// processor time and bandwidth have the most to spare. Instances with the same view choose the same home, and a change
/// of the fleet moves few services.
const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates);

/// Instances that were recently lost or unresponsive, by address. Each is avoided until a given time.
class unavailable_homes
{
public:
    void avoid(const std::string &address, common::instant until) { m_until[address] = until; }
    void clear() { m_until.clear(); }
    /// Calls chooseHome() without the candidates that are avoided at \p now. \p self, the incarnation of this instance,
    /// is never avoided.
    std::optional<home_candidate> choose(std::string_view service, std::vector<home_candidate> candidates,
                                         std::string_view self, common::instant now) const;

private:
    std::map<std::string, common::instant, std::less<>> m_until;
};

} // namespace masticlever::stages
