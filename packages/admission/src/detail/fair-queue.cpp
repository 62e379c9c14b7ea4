#include "fair-queue.h"

#include <algorithm>

namespace masticlever::admission::detail
{

namespace
{

constexpr double creditLimit = 10; ///< seconds of service per unit of weight

} // namespace

team_map::value_type &fair_queue::team(std::string_view name, double weight)
{
    auto found = m_teams.find(name);
    if (found == m_teams.end()) {
        found = m_teams.emplace(std::string(name), team_state{}).first;
    }
    constexpr double minWeight = 0.001;
    found->second.weight = std::max(weight, minWeight);
    return *found;
}

void fair_queue::eraseIfIdle(team_map::value_type &idle)
{
    if (!idle.second.isActive() && idle.second.finishTag <= m_virtualTime - creditLimit) {
        m_teams.erase(m_teams.find(idle.first));
    }
}

double fair_queue::startTagFor(const team_state &team) const
{
    return std::max(m_virtualTime - creditLimit, team.finishTag);
}

bool fair_queue::isBelowShare(const team_state &team, double cost) const
{
    return startTagFor(team) + cost / team.weight <= m_virtualTime;
}

double fair_queue::charge(team_state &team, double cost) const
{
    const double startTag = startTagFor(team);
    team.finishTag = startTag + cost / team.weight;
    return startTag;
}

void fair_queue::onStarted(double startTag)
{
    m_virtualTime = std::max(m_virtualTime, startTag);
}

void fair_queue::push(team_map::value_type &team, const queued_entry &entry)
{
    team.second.queue.push_back(entry);
    m_backlogged.insert(&team);
    ++m_size;
}

void fair_queue::removeIfEmpty(team_map::value_type &team)
{
    if (team.second.queue.empty()) {
        m_backlogged.erase(&team);
    }
}

team_map::value_type *fair_queue::next()
{
    const auto tag = [](const team_map::value_type *team) { return team->second.queue.front().startTag; };
    const auto first = std::min_element(m_backlogged.begin(), m_backlogged.end(),
                                        [&](const auto *left, const auto *right) { return tag(left) < tag(right); });
    return first == m_backlogged.end() ? nullptr : *first;
}

queued_entry fair_queue::popFront(team_map::value_type &team)
{
    const queued_entry entry = team.second.queue.front();
    team.second.queue.pop_front();
    --m_size;
    removeIfEmpty(team);
    return entry;
}

std::vector<queued_entry> fair_queue::takeExpired(common::instant now)
{
    std::vector<queued_entry> expired;
    const std::vector<team_map::value_type *> teams(m_backlogged.begin(), m_backlogged.end());
    for (team_map::value_type *team : teams) {
        auto &entries = team->second.queue;
        const auto isPending = [now](const queued_entry &entry) { return entry.expiresAt > now; };
        const auto firstExpired = std::stable_partition(entries.begin(), entries.end(), isPending);
        expired.insert(expired.end(), firstExpired, entries.end());
        entries.erase(firstExpired, entries.end());
        removeIfEmpty(*team);
    }
    m_size -= expired.size();
    return expired;
}

common::instant fair_queue::nextExpiry() const
{
    common::instant next = common::instant::max();
    for (const team_map::value_type *team : m_backlogged) {
        for (const queued_entry &entry : team->second.queue) {
            next = std::min(next, entry.expiresAt);
        }
    }
    return next;
}

bool fair_queue::erase(ticket id)
{
    for (team_map::value_type *team : m_backlogged) {
        auto &entries = team->second.queue;
        const auto found
            = std::find_if(entries.begin(), entries.end(), [id](const queued_entry &entry) { return entry.id == id; });
        if (found != entries.end()) {
            entries.erase(found);
            --m_size;
            removeIfEmpty(*team);
            return true;
        }
    }
    return false;
}

std::size_t fair_queue::countBefore(double startTag) const
{
    std::size_t count = 0;
    for (const team_map::value_type *team : m_backlogged) {
        const auto &entries = team->second.queue;
        const auto after = std::upper_bound(entries.begin(), entries.end(), startTag,
                                            [](double tag, const queued_entry &entry) { return tag < entry.startTag; });
        count += static_cast<std::size_t>(after - entries.begin());
    }
    return count;
}

} // namespace masticlever::admission::detail
