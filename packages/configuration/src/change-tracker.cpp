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

/// The outcome that no further record can change.
std::optional<change_outcome> finalOutcome(const change &what, const replayer &replayed)
{
    if (auto outcome = replayed.outcomeOf(what)) {
        return outcome;
    }
    if (const auto fault = detail::formFault(what)) {
        return change_outcome{change_status::invalid, 0, fault->field, fault->detail};
    }
    const change_outcome likely = replayed.check(what);
    const bool isPast = what.expectedVersion > 0 && what.expectedVersion <= replayed.current()->offset;
    if (likely.status == change_status::conflict && isPast) {
        return likely;
    }
    return std::nullopt;
}

} // namespace

change_view change_tracker::submit(const change &what, const replayer &replayed, common::instant now)
{
    std::string payload = encodeChange(what);
    const auto known = m_entries.find(what.id);
    if (known != m_entries.end() && known->second.payload != payload) {
        const change_outcome misuse{change_status::invalid, 0, "change_id", "is the id of another change"};
        return {what.id, change_progress::settled, misuse};
    }
    if (const auto outcome = finalOutcome(what, replayed)) {
        return {what.id, change_progress::settled, *outcome};
    }
    if (known != m_entries.end()) {
        return rejoin(known->second, now);
    }
    entry tracked;
    tracked.what = what;
    tracked.payload = std::move(payload);
    tracked.view.id = what.id;
    tracked.deadline = now + m_options.deadline;
    tracked.appendAt = now;
    return m_entries.emplace(what.id, std::move(tracked)).first->second.view;
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
        tracked.mayBeAppended = true;
    } else if (outcome.error() != common::error::unavailable) {
        tracked.mayBeAppended = true;
    }
}

void change_tracker::onReplayed(const replayer &replayed, common::instant now)
{
    for (auto &[id, tracked] : m_entries) {
        if (tracked.view.progress == change_progress::settled) {
            continue;
        }
        if (const auto outcome = replayed.outcomeOf(tracked.what)) {
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
        const bool isOpen = tracked.inFlight || tracked.mayBeAppended;
        end(tracked, isOpen ? change_progress::unknown : change_progress::not_applied, now);
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

std::optional<change_view> change_tracker::find(std::string_view changeId, const replayer &replayed) const
{
    if (const auto outcome = replayed.outcomeOf(changeId)) {
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

/// An answered append needs no other; the same id makes a second one after a lost answer harmless.
bool change_tracker::canAppend(const entry &tracked)
{
    return tracked.view.progress == change_progress::pending && !tracked.inFlight && tracked.offset == 0;
}

change_view change_tracker::rejoin(entry &tracked, common::instant now)
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
