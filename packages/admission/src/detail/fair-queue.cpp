#include "fair-queue.h"

#include <algorithm>

namespace masticlever::admission::detail
{

namespace
{

constexpr double creditLimit = 10; ///< seconds of service for each unit of weight

} // namespace

team_map::value_type &fair_queue::team(std::string_view name, double weight)
{
    auto found = m_teams.find(name);
    if (found == m_teams.end()) {
        found = m_teams.emplace(std::string(name), team_state{}).first;
    }
    constexpr double smallestWeight = 0.001;
    found->second.weight = std::max(weight, smallestWeight);
    return *found;
}

void fair_queue::forget(team_map::value_type &idle)
{
    if (!idle.second.isActive() && idle.second.finishTag <= m_virtualTime - creditLimit) {
        m_teams.erase(m_teams.find(idle.first));
    }
}

double fair_queue::startTagFor(const team_state &team) const
{
    return std::max(m_virtualTime - creditLimit, team.finishTag);
}

bool fair_queue::isBehind(const team_state &team, double cost) const
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

void fair_queue::push(team_state &team, const waiting &entry)
{
    team.queue.push_back(entry);
    ++m_size;
}

team_map::value_type *fair_queue::next()
{
    team_map::value_type *best = nullptr;
    for (auto &candidate : m_teams) {
        if (candidate.second.queue.empty()) {
            continue;
        }
        const double tag = candidate.second.queue.front().startTag;
        if (best == nullptr || tag < best->second.queue.front().startTag) {
            best = &candidate;
        }
    }
    return best;
}

waiting fair_queue::popFront(team_state &team)
{
    const waiting entry = team.queue.front();
    team.queue.pop_front();
    --m_size;
    return entry;
}

bool fair_queue::erase(ticket id)
{
    for (auto &[name, team] : m_teams) {
        const auto found
            = std::find_if(team.queue.begin(), team.queue.end(), [id](const waiting &w) { return w.id == id; });
        if (found != team.queue.end()) {
            team.queue.erase(found);
            --m_size;
            return true;
        }
    }
    return false;
}

std::size_t fair_queue::countBefore(double startTag) const
{
    std::size_t count = 0;
    for (const auto &[name, team] : m_teams) {
        const auto after = std::upper_bound(team.queue.begin(), team.queue.end(), startTag,
                                            [](double tag, const waiting &w) { return tag < w.startTag; });
        count += static_cast<std::size_t>(after - team.queue.begin());
    }
    return count;
}

} // namespace masticlever::admission::detail
