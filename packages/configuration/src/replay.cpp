#include <masticlever/configuration/replay.h>

#include "detail/decide.h"
#include "detail/history.h"
#include "detail/record.h"

#include <masticlever/common/digest.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace masticlever::configuration
{

namespace
{

std::uint64_t contentHash(const change &requested)
{
    return common::stableHash(encodeChange(requested));
}

} // namespace

struct replayer::impl {
    detail::replicated_state replicated;
    snapshot_ptr published = std::make_shared<const snapshot>();
    detail::history history;
    std::deque<platform::log_record> pending; ///< consecutive records that can't be applied before a base is known
    std::optional<detail::replicated_state> base; ///< newest usable snapshot among the pending records
    platform::log_offset next = 1; ///< offset of the next record to read
    platform::log_offset head = 1;
    platform::log_offset end = 1;
    snapshot_record newest;
    replay_counters counters;
    bool ready = false;

    /// Whether every record read so far has been applied.
    bool hasBase() const { return replicated.offset() + 1 == next; }

    void readBatch(const platform::log_batch &batch);
    void readRecord(const platform::log_record &record);
    void bufferRecord(const platform::log_record &record, const detail::decoded_payload &content);
    void applyRecord(const platform::log_record &record, detail::decoded_payload content);
    void applyChange(const change &requested, platform::log_offset offset);
    void checkSnapshot(const detail::replicated_state &snapshotState, const platform::log_record &record);
    void installState(detail::replicated_state newState);
    void replayPending();
    void publish();
};

/// Processes the records from \a next on. A head above \a next means that retention dropped records in between, so the
/// pending ones are no longer consecutive with what follows.
void replayer::impl::readBatch(const platform::log_batch &batch)
{
    if (batch.head > next) {
        pending.clear();
        base.reset();
        next = batch.head;
    }
    for (const platform::log_record &record : batch.records) {
        if (record.offset == next) {
            ++next;
            readRecord(record);
        }
    }
    if (base && base->offset() > replicated.offset()) {
        installState(std::move(*base));
    }
    base.reset();
    publish();
}

void replayer::impl::readRecord(const platform::log_record &record)
{
    detail::decoded_payload content = detail::decodePayload(record.payload);
    const auto *snapshotState = std::get_if<detail::replicated_state>(&content);
    if (snapshotState != nullptr && snapshotState->offset() >= record.offset) {
        content = detail::invalid_payload{};
    }
    if (pending.empty() && replicated.offset() + 1 == record.offset) {
        applyRecord(record, std::move(content));
        return;
    }
    bufferRecord(record, content);
}

/// A snapshot is usable as a base only when all records above the offset that it covers are pending.
void replayer::impl::bufferRecord(const platform::log_record &record, const detail::decoded_payload &content)
{
    pending.push_back(record);
    const auto *snapshotState = std::get_if<detail::replicated_state>(&content);
    if (snapshotState == nullptr) {
        return;
    }
    const bool isUsable
        = snapshotState->offset() + 1 >= pending.front().offset && snapshotState->offset() > replicated.offset();
    const bool isNewest = !base || snapshotState->offset() > base->offset();
    if (isUsable && isNewest) {
        base = *snapshotState;
    }
}

void replayer::impl::applyRecord(const platform::log_record &record, detail::decoded_payload content)
{
    const auto *snapshotState = std::get_if<detail::replicated_state>(&content);
    if (snapshotState != nullptr) {
        checkSnapshot(*snapshotState, record);
    } else if (const auto *requested = std::get_if<change>(&content)) {
        applyChange(*requested, record.offset);
    } else {
        replicated.addSkipped(1);
    }
    replicated.setOffset(record.offset);
    ++counters.applied;
    history.append(record, replicated.digest(), snapshotState != nullptr);
}

/// Only the first record with a change id has an effect.
void replayer::impl::applyChange(const change &requested, platform::log_offset offset)
{
    if (replicated.findDecided(requested.id) == nullptr) {
        const change_outcome outcome = detail::decide(replicated, requested, offset);
        replicated.remember(requested.id, {contentHash(requested), outcome});
    }
}

/// Compares a snapshot record with the state that was replayed; it never changes that state.
void replayer::impl::checkSnapshot(const detail::replicated_state &snapshotState, const platform::log_record &record)
{
    const bool isCurrent = snapshotState.offset() == replicated.offset();
    const auto digest = isCurrent ? std::optional(replicated.digest()) : history.digestAt(snapshotState.offset());
    if (digest && *digest != snapshotState.digest()) {
        ++counters.divergences;
        return;
    }
    if (snapshotState.offset() >= newest.covers) {
        newest = {snapshotState.offset(), record.offset, record.appendedAt};
    }
}

void replayer::impl::installState(detail::replicated_state newState)
{
    replicated = std::move(newState);
    history.clear();
    ++counters.basesAdopted;
    replayPending();
}

void replayer::impl::replayPending()
{
    std::deque<platform::log_record> records = std::move(pending);
    pending.clear();
    for (const platform::log_record &record : records) {
        if (record.offset <= replicated.offset()) {
            continue;
        }
        readRecord(record);
    }
    next = std::max(next, replicated.offset() + 1);
}

void replayer::impl::publish()
{
    if (published->offset != replicated.offset()) {
        published = std::make_shared<const snapshot>(replicated.resources());
    }
}

replayer::replayer() : m_impl(std::make_unique<impl>()) { }
replayer::~replayer() = default;
replayer::replayer(replayer &&) noexcept = default;
replayer &replayer::operator=(replayer &&) noexcept = default;

replay_state replayer::onRecords(const platform::log_batch &batch)
{
    impl &s = *m_impl;
    if (batch.end < s.next) {
        ++s.counters.regressed;
        return replay_state::regressed;
    }
    s.head = std::max(s.head, batch.head);
    s.end = std::max(s.end, batch.end);
    s.readBatch(batch);
    if (!s.hasBase()) {
        return replay_state::needs_base;
    }
    s.ready = s.ready || s.next >= batch.end;
    return replay_state::current;
}

replay_state replayer::onPeerRecords(const platform::log_batch &batch)
{
    impl &s = *m_impl;
    if (batch.head <= s.next) {
        s.readBatch(batch);
    }
    if (!s.hasBase()) {
        return replay_state::needs_base;
    }
    s.ready = s.ready || s.next >= batch.end;
    return replay_state::current;
}

bool replayer::onPeerState(std::string_view encodedSnapshot)
{
    impl &s = *m_impl;
    detail::decoded_payload content = detail::decodePayload(encodedSnapshot);
    auto *snapshotState = std::get_if<detail::replicated_state>(&content);
    if (snapshotState == nullptr || snapshotState->offset() <= s.replicated.offset()) {
        return false;
    }
    if (!s.pending.empty() && snapshotState->offset() + 1 < s.pending.front().offset) {
        s.pending.clear();
        s.base.reset();
        s.next = snapshotState->offset() + 1;
    }
    s.installState(std::move(*snapshotState));
    s.ready = true;
    s.publish();
    return true;
}

snapshot_ptr replayer::current() const
{
    return m_impl->published;
}

platform::log_offset replayer::nextOffset() const
{
    return m_impl->next;
}

bool replayer::isReady() const
{
    return m_impl->ready;
}

std::optional<change_outcome> replayer::outcomeOf(std::string_view changeId) const
{
    const detail::decided_change *decided = m_impl->replicated.findDecided(changeId);
    return decided == nullptr ? std::nullopt : std::optional(decided->outcome);
}

std::optional<change_outcome> replayer::outcomeOf(const change &requested) const
{
    const detail::decided_change *decided = m_impl->replicated.findDecided(requested.id);
    if (decided == nullptr) {
        return std::nullopt;
    }
    if (decided->contentHash != contentHash(requested)) {
        return change_outcome{change_status::invalid, 0, "change_id", "is the id of another change"};
    }
    return decided->outcome;
}

change_outcome replayer::check(const change &requested) const
{
    if (const auto outcome = outcomeOf(requested)) {
        return *outcome;
    }
    return detail::preview(m_impl->replicated, requested, m_impl->next);
}

std::string replayer::encodeSnapshot() const
{
    return detail::encodeState(m_impl->replicated);
}

bool replayer::isSnapshotDue(std::uint64_t records) const
{
    return recordsSinceSnapshot() > records;
}

std::uint64_t replayer::recordsSinceSnapshot() const
{
    return m_impl->history.changesAbove(m_impl->newest.covers);
}

snapshot_record replayer::newestSnapshot() const
{
    return m_impl->newest;
}

platform::log_offset replayer::logHead() const
{
    return m_impl->head;
}

platform::log_offset replayer::logEnd() const
{
    return m_impl->end;
}

replay_counters replayer::counters() const
{
    replay_counters counters = m_impl->counters;
    counters.skipped = m_impl->replicated.skipped();
    return counters;
}

std::optional<platform::log_batch> replayer::recordsFrom(platform::log_offset from, std::size_t limit) const
{
    if (!m_impl->ready) {
        return std::nullopt;
    }
    return m_impl->history.recordsFrom(from, m_impl->replicated.offset() + 1, limit);
}

} // namespace masticlever::configuration
