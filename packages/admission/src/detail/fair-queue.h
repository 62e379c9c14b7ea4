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

struct queued_entry {
    ticket id = 0;
    double startTag = 0; ///< virtual time
    common::instant expiresAt; ///< refused if not started before
    common::instant deadline;
    common::duration expectedService{};
};

struct team_state {
    double weight = 1;
    std::size_t inFlight = 0;
    double finishTag = 0; ///< virtual time at which its accepted work ends
    std::deque<queued_entry> queue;

    bool isActive() const { return inFlight > 0 || !queue.empty(); }
};

using team_map = std::map<std::string, team_state, std::less<>>;

/// The queues of all teams. Virtual time advances with the service per unit of weight that the busiest teams receive.
/// A team that received less accumulates a limited credit, so that short bursts of a small team stay within its share.
class fair_queue
{
public:
    /// Returns the state of the team \p name, created if needed. The reference is valid until eraseIfIdle().
    team_map::value_type &team(std::string_view name, double weight);
    /// Erases the state of \p idle if it has no requests and has all of its credit.
    void eraseIfIdle(team_map::value_type &idle);

    /// Charges \p cost (seconds of service) to \p team and returns its start tag.
    double charge(team_state &team, double cost) const;
    void onStarted(double startTag);
    void push(team_map::value_type &team, const queued_entry &entry);

    /// Returns the team whose first entry has the lowest start tag, or nullptr if all queues are empty.
    team_map::value_type *next();
    queued_entry popFront(team_map::value_type &team);
    /// Removes and returns the expired entries.
    std::vector<queued_entry> takeExpired(common::instant now);
    /// When the next entry expires; instant::max() if there is none.
    common::instant nextExpiry() const;
    /// Returns false if \p id is not queued.
    bool erase(ticket id);

    /// Whether \p team stays within its share with one more request of \p cost.
    bool isBelowShare(const team_state &team, double cost) const;
    /// Number of entries that are served before a new one with \p startTag.
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

    void removeIfEmpty(team_map::value_type &team);

    team_map m_teams;
    std::set<team_map::value_type *, by_name> m_backlogged; ///< teams with queued entries
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace masticlever::admission::detail
