#pragma once

#include <masticlever/common/time.h>
#include <masticlever/membership/rate-limits.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// This instance's share of the rate limits of endpoints. An endpoint's rate is divided among a few instances, its
/// senders, which rendezvous hashing chooses from the live ones; all others send it nothing. The number of senders
/// grows with the rate and not with the fleet, so that the first request of each sender fits into the limit too. The
/// shares need no messages between instances, except that all have to learn of a limit.

namespace masticlever::forwarding
{

struct rate_share_options {
    double usableShare = 0.9; ///< of the rate; the remainder covers requests that are delayed on their way
    std::size_t additionalSenders = 2; ///< besides one for each request per second
    /// Requests of this time may be sent at once, but at least one.
    common::duration burstTime = std::chrono::milliseconds(100);
    double minimumRate = 0.05; ///< requests per second; with none at all, the end of a limit would not be noticed
    double maximumRate = 1e6; ///< requests per second; a higher rate does not fit the computation
    /// If no answer has confirmed a limit for this time, the senders may have no requests. Until one confirms it, the
    /// other instances share half of the rate.
    common::duration confirmationLifetime = std::chrono::seconds(15);
    /// Shares are computed for the largest fleet of this time, because instances that are not heard may still send.
    common::duration fleetRetention = std::chrono::seconds(10);
};

enum class sender_role {
    one_of_fleet, ///< every instance may have requests for the endpoint
    only, ///< this instance sends on behalf of all others
};

/// What a share is used for. Each role has a share of its own.
struct rate_use {
    sender_role role = sender_role::one_of_fleet;
    double part = 1; ///< of the rate; less than 1 if the endpoint gets requests in both roles
};

class rate_share
{
public:
    explicit rate_share(rate_share_options options) : m_options(options) { }

    /// Sets the rank keys of the live instances; called several times a second. An instance that is not among them, for
    /// example because it is leaving, is no sender.
    void setMembers(std::span<const std::uint64_t> rankKeys, std::uint64_t self, common::instant now);

    /// Requests per second that this instance may send; 0 if it is not a sender.
    double ownRate(std::string_view endpoint, const membership::rate_limit &limit, const rate_use &use,
                   common::instant now);
    /// Zero if a request may be sent now. If this instance is not a sender, the mean time until a sender may send one.
    common::duration timeUntilAvailable(std::string_view endpoint, const membership::rate_limit &limit,
                                        const rate_use &use, common::instant now);
    /// Takes one request from the share. Returns false if none may be sent now.
    bool take(std::string_view endpoint, const membership::rate_limit &limit, const rate_use &use, common::instant now);

private:
    /// A token bucket that starts empty.
    struct share {
        double rate = 0; ///< requests per second
        double tokens = 0;
        common::instant filledAt;
        std::uint64_t hash = 0; ///< of the endpoint
        std::size_t senders = 0; ///< number of senders that isSender was computed for
        std::uint64_t generation = 0; ///< of the members that isSender was computed for
        bool isSender = false;
    };

    share &refill(std::string_view endpoint, const membership::rate_limit &limit, const rate_use &use,
                  common::instant now);
    double usableRate(const membership::rate_limit &limit) const;
    bool isSender(share &state, std::size_t senders) const;

    rate_share_options m_options;
    std::vector<std::uint64_t> m_members;
    std::uint64_t m_self = 0;
    std::uint64_t m_generation = 1; ///< incremented when the members change
    std::size_t m_fleetSize = 1; ///< largest number of members within the retention
    common::instant m_fleetSizeAt;
    std::array<std::map<std::string, share, std::less<>>, 2> m_shares; ///< by role and endpoint
};

} // namespace masticlever::forwarding
