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
/// Which instance is the home of a service: the one queue in which all of its pieces meet.

namespace masticlever::stages
{

struct home_candidate {
    std::string incarnation;
    std::string address; ///< of its home service, "IP:port"
    std::uint64_t rankKey = 0; ///< stable hash of the incarnation
    std::uint32_t processorMillis = 0; ///< processor time it may use, milliseconds a second; 0: not known
    std::uint32_t linkMbps = 0; ///< of its machine's link, megabits a second; 0: not known
    bool isAvoided = false; ///< silent here of late
};

/// The candidate that a rendezvous hash prefers among the strong ones that are not avoided; nullptr when there is none.
/// A home's work grows with the fleet and cannot be divided, while every instance gets about the same share of the
/// callers: the instances with the most processor time and the fastest links have the most left for it. Instances with
/// the same view choose the same one, and a change of the fleet moves few services.
const home_candidate *chooseHome(std::string_view service, std::span<const home_candidate> candidates);

/// Instances that were lost or silent here, by address; they are taken again after a while.
class avoided_homes
{
public:
    void avoid(const std::string &address, common::instant until) { m_until[address] = until; }
    void clear() { m_until.clear(); }
    /// As the function above, among \p candidates without those that are avoided now; \p self never is.
    std::optional<home_candidate> choose(std::string_view service, std::vector<home_candidate> candidates,
                                         std::string_view self, common::instant now) const;

private:
    std::map<std::string, common::instant, std::less<>> m_until;
};

} // namespace masticlever::stages
