#include <masticlever/routing/fleet-load-table.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticlever::routing
{

using common::duration;
using common::instant;

namespace
{

constexpr double minimumEvents = 0.5; ///< decayed requests, below which an endpoint has no pace of its own
constexpr double minimumOutcomes = 0.1; ///< decayed outcomes, below which a reporter is no evidence

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double difference(std::uint64_t left, std::uint64_t right)
{
    return std::abs(static_cast<double>(left) - static_cast<double>(right));
}

} // namespace

double fleet_load_table::decay(instant from, instant to) const
{
    return std::exp(-secondsOf(std::max(to - from, duration{})) / secondsOf(m_options.smoothing));
}

void fleet_load_table::setEndpoints(std::span<const endpoint_reference> endpoints)
{
    std::map<endpoint_key, sent_state> kept;
    for (const endpoint_reference &reference : endpoints) {
        const auto known = m_sent.find(reference.endpoint);
        sent_state state = known == m_sent.end() ? sent_state{} : std::move(known->second);
        state.service = reference.service;
        kept.emplace(reference.endpoint, std::move(state));
    }
    m_sent = std::move(kept);
}

void fleet_load_table::onReport(reporter_id reporter, std::span<const load_report_entry> entries, instant now)
{
    m_reporters[reporter] = now;
    for (const load_report_entry &entry : entries) {
        if (m_states.size() >= m_options.maximumEndpoints && !m_states.contains(entry.endpoint)) {
            continue;
        }
        endpoint_state &state = m_states[entry.endpoint];
        contribution &own = state.contributions[reporter];
        const double kept = decay(own.decayedAt, now);
        state.hasMoved = state.hasMoved || own.inFlight != entry.inFlight || own.pendingTokens != entry.pendingTokens;
        own = {entry.inFlight,
               entry.tokens,
               entry.pendingTokens,
               own.answered * kept + entry.answered,
               own.failed * kept + entry.failed,
               now};
        if (entry.firstEvents > 0) {
            const double keptPace = decay(state.decayedAt, now);
            state.firstEvents = state.firstEvents * keptPace + entry.firstEvents;
            state.slownessSum = state.slownessSum * keptPace + entry.slownessSum;
            state.decayedAt = now;
        }
    }
}

void fleet_load_table::onReporterGone(reporter_id reporter)
{
    m_reporters.erase(reporter);
    for (auto &[endpoint, state] : m_states) {
        state.contributions.erase(reporter);
    }
}

/// Removes what has no influence any more.
void fleet_load_table::removeIdle(instant now)
{
    for (auto &[endpoint, state] : m_states) {
        std::erase_if(state.contributions, [&](const auto &item) {
            const contribution &own = item.second;
            return own.inFlight == 0 && (own.answered + own.failed) * decay(own.decayedAt, now) < minimumOutcomes;
        });
    }
    std::erase_if(m_states, [&](const auto &item) {
        const endpoint_state &state = item.second;
        return state.contributions.empty() && state.firstEvents * decay(state.decayedAt, now) < minimumEvents;
    });
}

/// The median over the endpoints of each service.
std::map<std::string, fleet_load_table::service_pace> fleet_load_table::typicalPaces(instant now) const
{
    std::map<std::string, std::vector<double>> slowness;
    for (const auto &[endpoint, sent] : m_sent) {
        const auto found = m_states.find(endpoint);
        if (found != m_states.end()
            && found->second.firstEvents * decay(found->second.decayedAt, now) >= minimumEvents) {
            slowness[sent.service].push_back(found->second.slownessSum / found->second.firstEvents);
        }
    }
    std::map<std::string, service_pace> typical;
    for (auto &[service, values] : slowness) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        typical[service] = {*middle, true};
    }
    return typical;
}

load_update_entry fleet_load_table::sumOf(endpoint_key endpoint, const service_pace &typical, instant now) const
{
    load_update_entry sum;
    sum.endpoint = endpoint;
    const auto found = m_states.find(endpoint);
    if (found == m_states.end()) {
        return sum;
    }
    const endpoint_state &state = found->second;
    double outcomes = 0;
    double failures = 0;
    for (const auto &[reporter, own] : state.contributions) {
        const instant reportedAt = m_reporters.at(reporter);
        if (own.inFlight > 0 && now - reportedAt <= m_options.reporterTimeout) {
            sum.inFlight += own.inFlight;
            sum.tokens += own.tokens;
            sum.pendingTokens += own.pendingTokens;
            sum.age = std::max(sum.age, now - reportedAt);
        }
        const double total = (own.answered + own.failed) * decay(own.decayedAt, now);
        if (total >= minimumOutcomes) {
            const double weight = std::min(total, m_options.outcomesPerReporter);
            outcomes += weight;
            failures += weight * own.failed / (own.answered + own.failed);
            ++sum.evidence;
        }
    }
    sum.failureShare = outcomes > 0 ? failures / outcomes : 0;
    const double events = state.firstEvents * decay(state.decayedAt, now);
    if (typical.isKnown && events >= minimumEvents) {
        const double deviation = state.slownessSum / state.firstEvents - typical.typicalSlowness;
        sum.pace = std::clamp(std::exp2(deviation * events / (events + m_options.paceInertia)), m_options.minimumPace,
                              m_options.maximumPace);
    }
    return sum;
}

/// Difference from what was sent, in requests; 0 if the entry need not be sent.
double fleet_load_table::priorityOf(const sent_state &sent, const load_update_entry &current, bool hasMoved,
                                    instant now) const
{
    constexpr double never = 1000; // before all changes
    constexpr double promptTokens = 4000; // pending tokens that weigh as much as a request
    constexpr double requestTokens = 16000;
    constexpr double shareWeight = 10;
    constexpr double paceWeight = 4;
    constexpr double minimumChange = 0.1;
    // The sum is the same, but a receiver whose own part has changed does not know the others' part.
    constexpr double moved = 0.5;
    constexpr double perSecond = 0.5; // small changes are sent in the end, too
    if (!sent.isSent) {
        return never;
    }
    const load_update_entry &known = sent.entry;
    const double change = (hasMoved ? moved : 0) + difference(known.inFlight, current.inFlight)
        + difference(known.pendingTokens, current.pendingTokens) / promptTokens
        + difference(known.tokens, current.tokens) / requestTokens
        + shareWeight * std::abs(known.failureShare - current.failureShare)
        + paceWeight * std::abs(std::log2(known.pace / current.pace));
    const duration unsent = now - sent.sentAt;
    if (change < minimumChange && unsent < m_options.refreshInterval) {
        return 0;
    }
    return change + perSecond * secondsOf(unsent);
}

std::vector<load_update_entry> fleet_load_table::takeUpdate(std::size_t budgetBytes, instant now)
{
    removeIdle(now);
    const auto typical = typicalPaces(now);
    struct candidate {
        double priority = 0;
        load_update_entry entry;
    };
    std::vector<candidate> candidates;
    for (const auto &[endpoint, sent] : m_sent) {
        const auto pace = typical.find(sent.service);
        const load_update_entry entry = sumOf(endpoint, pace == typical.end() ? service_pace{} : pace->second, now);
        const auto state = m_states.find(endpoint);
        const bool hasMoved = state != m_states.end() && state->second.hasMoved;
        const double priority = priorityOf(sent, entry, hasMoved, now);
        if (priority > 0) {
            candidates.push_back({priority, entry});
        }
    }
    std::ranges::stable_sort(candidates, std::ranges::greater{}, &candidate::priority);
    std::vector<load_update_entry> update;
    std::size_t used = 0;
    for (const candidate &next : candidates) {
        used += encodedBytes(next.entry);
        if (used > budgetBytes) {
            break;
        }
        sent_state &sent = m_sent[next.entry.endpoint];
        sent.entry = next.entry;
        sent.sentAt = now;
        sent.isSent = true;
        if (const auto state = m_states.find(next.entry.endpoint); state != m_states.end()) {
            state->second.hasMoved = false;
        }
        update.push_back(next.entry);
    }
    return update;
}

} // namespace masticlever::routing
