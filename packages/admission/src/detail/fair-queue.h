#pragma once

#include <masticlever/admission/admission.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Weighted fair queueing between teams (start-time fair queueing).

namespace masticlever::admission::detail
{

struct waiting {
    ticket id = 0;
    double startTag = 0; ///< virtual time
    common::instant expiresAt;
    common::instant deadline;
    common::duration expectedService{};
};

struct team_state {
    double weight = 1;
    std::size_t inFlight = 0;
    double finishTag = 0; ///< virtual time at which its accepted work ends
    std::deque<waiting> queue;

    bool isActive() const { return inFlight > 0 || !queue.empty(); }
};

using team_map = std::map<std::string, team_state, std::less<>>;

/// The teams with their queues. Virtual time advances with the service that the busiest teams get for their weight;
/// a team that got less saves up a limited credit, so that a small team's short bursts stay within its share.
class fair_queue
{
public:
    /// The state of \p team, made when missing; the reference stays valid until forget().
    team_map::value_type &team(std::string_view name, double weight);
    void forget(team_map::value_type &idle);

    /// Charges \p cost (seconds of service) to \p team and returns its start tag.
    double charge(team_state &team, double cost) const;
    void onStarted(double startTag);
    void push(team_map::value_type &team, const waiting &entry);

    /// The team whose first entry is next, or nullptr.
    team_map::value_type *next();
    waiting popFront(team_map::value_type &team);
    /// Removes and returns the entries whose wait has ended.
    std::vector<waiting> takeExpired(common::instant now);
    /// When the next entry's wait ends; instant::max() when nothing waits.
    common::instant nextExpiry() const;
    /// False when \p id does not wait.
    bool erase(ticket id);

    /// Whether \p team has had no more than its share, one more request of \p cost included.
    bool isBehind(const team_state &team, double cost) const;
    /// Entries that would be served before one with \p startTag.
    std::size_t countBefore(double startTag) const;
    double startTagFor(const team_state &team) const;
    std::size_t size() const { return m_size; }

private:
    struct by_name {
        bool operator()(const team_map::value_type *left, const team_map::value_type *right) const
        {
            return left->first < right->first;
        }
    };

    void forgetIfEmpty(team_map::value_type &team);

    team_map m_teams;
    std::set<team_map::value_type *, by_name> m_waiting; ///< teams with queued entries
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace masticlever::admission::detail
