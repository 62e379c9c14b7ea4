#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// \file
/// This instance's share of the requests that a cold endpoint can sustain. A cold endpoint crashes when all instances
/// together send it more in any second than its bound, so an error in the view of the fleet must make the sum smaller
/// and not larger. A few senders, which rendezvous hashing chooses from all instances that were known for a long time,
/// send one request each per interval; all others send nothing.

namespace masticlever::forwarding
{

struct cold_share_options {
    /// An endpoint that sustains R requests per second gets at most R x excess + slack in any second. 0 and 0: cold
    /// endpoints are not limited.
    double excess = 0;
    double slack = 0;
    /// Of the bound, for the senders of one view of the fleet. The remainder covers instances that take themselves for
    /// senders because they have not heard of others yet, or that have already forgotten them.
    double viewShare = 0.5;
    /// Seconds between two requests that arrive in different windows of one second; more than 1 because requests are
    /// delayed on their way by different times.
    double window = 1.1;
    /// Instances that are not heard count as senders for this time: an instance that lost all peers keeps its share and
    /// does not take theirs.
    common::duration memberRetention = std::chrono::minutes(30);
    /// A new instance knows only some of the others at first and sends nothing for this time after it heard of one.
    common::duration settleTime = std::chrono::seconds(10);
    std::size_t maximumMembers = 4096; ///< limit on remembered instances; later ones are no senders
};

class cold_share
{
public:
    explicit cold_share(cold_share_options options) : m_options(options) { }

    bool isEnabled() const { return m_options.excess > 0 || m_options.slack > 0; }
    /// Sets the rank keys of the live instances; called several times a second.
    void setMembers(std::span<const std::uint64_t> rankKeys, std::uint64_t self, common::instant now);

    /// Zero if a request may be sent to the cold endpoint now; nothing if this instance is not a sender. \p rate is
    /// what the endpoint sustains, in requests per second.
    std::optional<common::duration> timeUntilAvailable(std::string_view endpoint, double rate, common::instant now);
    /// Takes one request from the share. Returns false if none may be sent now.
    bool take(std::string_view endpoint, double rate, common::instant now);

private:
    struct share {
        std::uint64_t hash = 0; ///< of the endpoint
        common::instant lastUsedAt; ///< last request, or when the share was first asked for
        std::uint64_t generation = 0; ///< of the members that isSender was computed for
        std::size_t senders = 0; ///< that isSender was computed for
        bool isSender = false;
    };

    struct sender_plan {
        std::size_t senders = 0;
        common::duration interval{}; ///< between two requests of a sender
    };

    sender_plan planFor(double rate) const;
    share &find(std::string_view endpoint, common::instant now);
    bool isSender(share &state, std::size_t senders, common::instant now) const;

    cold_share_options m_options;
    std::map<std::uint64_t, common::instant> m_members; ///< when each was last heard, by rank key
    std::uint64_t m_self = 0;
    std::uint64_t m_generation = 1; ///< incremented when the members change
    std::optional<common::instant> m_firstPeerAt;
    std::map<std::string, share, std::less<>> m_shares; ///< by endpoint
};

} // namespace masticlever::forwarding
