#include <masticlever/configuration/change-tracker.h>

#include "detail/decide.h"

#include <masticlever/common/errors.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticlever::configuration
{

namespace
{

/// Returns the outcome if no later record can change it.
std::optional<change_outcome> finalOutcome(const change &requested, const replayer &replay)
{
    if (auto outcome = replay.outcomeOf(requested)) {
        return outcome;
    }
    if (const auto error = detail::validateChange(requested)) {
        return change_outcome{change_status::invalid, 0, error->field, error->detail};
    }
    const change_outcome predicted = replay.check(requested);
    const bool isVersionInPast = requested.expectedVersion > 0 && requested.expectedVersion <= replay.current()->offset;
    if (predicted.status == change_status::conflict && isVersionInPast) {
        return predicted;
    }
    return std::nullopt;
}

} // namespace

change_view change_tracker::submit(const change &requested, const replayer &replay, common::instant now)
{
    std::string payload = encodeChange(requested);
    const auto existing = m_entries.find(requested.id);
    if (existing != m_entries.end() && existing->second.payload != payload) {
        const change_outcome idReused{change_status::invalid, 0, "change_id", "is the id of another change"};
        return {requested.id, change_progress::settled, idReused};
    }
    if (const auto outcome = finalOutcome(requested, replay)) {
        return {requested.id, change_progress::settled, *outcome};
    }
    if (existing != m_entries.end()) {
        return resubmit(existing->second, now);
    }
    entry tracked;
    tracked.requested = requested;
    tracked.payload = std::move(payload);
    tracked.view.id = requested.id;
    tracked.deadline = now + m_options.deadline;
    tracked.appendAt = now;
    return m_entries.emplace(requested.id, std::move(tracked)).first->second.view;
}

std::vector<change_append> change_tracker::takeAppends(common::instant now)
{
    std::vector<change_append> appends;
    for (auto &[id, tracked] : m_entries) {
        if (!canAppend(tracked) || now < tracked.appendAt || now >= tracked.deadline) {
            continue;
        }
        tracked.inFlight = true;
        appends.push_back({id, tracked.payload});
    }
    return appends;
}

void change_tracker::onAppendEnded(std::string_view changeId, common::result<platform::log_offset> outcome,
                                   common::instant now)
{
    const auto found = m_entries.find(changeId);
    if (found == m_entries.end()) {
        return;
    }
    entry &tracked = found->second;
    tracked.inFlight = false;
    tracked.appendAt = now + m_options.retryInterval;
    if (outcome.has_value()) {
        tracked.offset = outcome.value();
        tracked.mayBeInLog = true;
    } else if (outcome.error() != common::error::unavailable) {
        tracked.mayBeInLog = true;
    }
}

void change_tracker::onReplayed(const replayer &replay, common::instant now)
{
    for (auto &[id, tracked] : m_entries) {
        if (tracked.view.progress == change_progress::settled) {
            continue;
        }
        if (const auto outcome = replay.outcomeOf(tracked.requested)) {
            settle(tracked, *outcome, now);
        }
    }
}

void change_tracker::onTimer(common::instant now)
{
    for (auto &[id, tracked] : m_entries) {
        if (tracked.view.progress != change_progress::pending || now < tracked.deadline) {
            continue;
        }
        const bool isUndecided = tracked.inFlight || tracked.mayBeInLog;
        end(tracked, isUndecided ? change_progress::unknown : change_progress::not_applied, now);
    }
    std::erase_if(m_entries, [&](const auto &item) {
        const entry &tracked = item.second;
        const bool hasEnded = tracked.view.progress != change_progress::pending;
        return hasEnded && !tracked.inFlight && now >= tracked.endedAt + m_options.keepFor;
    });
}

std::vector<change_view> change_tracker::takeEnded()
{
    return std::exchange(m_ended, {});
}

std::optional<change_view> change_tracker::find(std::string_view changeId, const replayer &replay) const
{
    if (const auto outcome = replay.outcomeOf(changeId)) {
        return change_view{std::string(changeId), change_progress::settled, *outcome};
    }
    const auto found = m_entries.find(changeId);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.view);
}

common::instant change_tracker::nextWakeUp() const
{
    common::instant earliest = common::instant::max();
    for (const auto &[id, tracked] : m_entries) {
        if (tracked.view.progress != change_progress::pending) {
            earliest = std::min(earliest, tracked.endedAt + m_options.keepFor);
            continue;
        }
        earliest = std::min(earliest, tracked.deadline);
        if (canAppend(tracked)) {
            earliest = std::min(earliest, tracked.appendAt);
        }
    }
    return earliest;
}

/// A successful append is not repeated. After a lost answer it is, since a second record with the same change id has no
/// effect.
bool change_tracker::canAppend(const entry &tracked)
{
    return tracked.view.progress == change_progress::pending && !tracked.inFlight && tracked.offset == 0;
}

change_view change_tracker::resubmit(entry &tracked, common::instant now)
{
    if (tracked.view.progress == change_progress::pending || tracked.view.progress == change_progress::settled) {
        return tracked.view;
    }
    tracked.view.progress = change_progress::pending;
    tracked.deadline = now + m_options.deadline;
    tracked.appendAt = now;
    return tracked.view;
}

void change_tracker::end(entry &tracked, change_progress progress, common::instant now)
{
    tracked.view.progress = progress;
    tracked.endedAt = now;
    m_ended.push_back(tracked.view);
}

void change_tracker::settle(entry &tracked, const change_outcome &outcome, common::instant now)
{
    tracked.view.outcome = outcome;
    end(tracked, change_progress::settled, now);
}

} // namespace masticlever::configuration
