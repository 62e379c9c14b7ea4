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

std::uint64_t contentHash(const change &what)
{
    return common::stableHash(encodeChange(what));
}

} // namespace

struct replayer::state {
    detail::table table;
    snapshot_ptr published = std::make_shared<const snapshot>();
    detail::history history;
    std::deque<platform::log_record> pending; ///< read, consecutive, waiting for a base
    std::optional<detail::table> base; ///< newest snapshot met in pending that can be built upon
    platform::log_offset next = 1; ///< next record to read
    platform::log_offset head = 1;
    platform::log_offset end = 1;
    snapshot_mark newest;
    replay_counters counters;
    bool ready = false;

    bool hasBase() const { return table.offset() + 1 == next; }

    void take(const platform::log_batch &batch);
    void read(const platform::log_record &record);
    void hold(const platform::log_record &record, const detail::decoded &content);
    void apply(const platform::log_record &record, detail::decoded content);
    void applyChange(const change &what, platform::log_offset offset);
    void observe(const detail::table &met, const platform::log_record &record);
    void adopt(detail::table taken);
    void replayPending();
    void publish();
};

/// Reads the batch's next records; a gap between them and \a next means that the log has dropped records.
void replayer::state::take(const platform::log_batch &batch)
{
    if (batch.head > next) {
        pending.clear();
        base.reset();
        next = batch.head;
    }
    for (const platform::log_record &record : batch.records) {
        if (record.offset == next) {
            ++next;
            read(record);
        }
    }
    if (base && base->offset() > table.offset()) {
        adopt(std::move(*base));
    }
    base.reset();
    publish();
}

void replayer::state::read(const platform::log_record &record)
{
    detail::decoded content = detail::decodePayload(record.payload);
    const auto *met = std::get_if<detail::table>(&content);
    if (met != nullptr && met->offset() >= record.offset) {
        content = detail::garbage{};
    }
    if (pending.empty() && table.offset() + 1 == record.offset) {
        apply(record, std::move(content));
        return;
    }
    hold(record, content);
}

/// A snapshot is a base only when every record above the offset that it covers is held here.
void replayer::state::hold(const platform::log_record &record, const detail::decoded &content)
{
    pending.push_back(record);
    const auto *met = std::get_if<detail::table>(&content);
    if (met == nullptr) {
        return;
    }
    const bool isUsable = met->offset() + 1 >= pending.front().offset && met->offset() > table.offset();
    const bool isNewest = !base || met->offset() > base->offset();
    if (isUsable && isNewest) {
        base = *met;
    }
}

void replayer::state::apply(const platform::log_record &record, detail::decoded content)
{
    const auto *met = std::get_if<detail::table>(&content);
    if (met != nullptr) {
        observe(*met, record);
    } else if (const auto *what = std::get_if<change>(&content)) {
        applyChange(*what, record.offset);
    } else {
        table.addSkipped(1);
    }
    table.setOffset(record.offset);
    ++counters.applied;
    history.append(record, table.digest(), met != nullptr);
}

/// The first record with a change id decides; later ones with the same id have no effect.
void replayer::state::applyChange(const change &what, platform::log_offset offset)
{
    if (table.findDecided(what.id) == nullptr) {
        const change_outcome outcome = detail::decide(table, what, offset);
        table.remember(what.id, {contentHash(what), outcome});
    }
}

/// A snapshot never changes a state that is past it; it is only compared.
void replayer::state::observe(const detail::table &met, const platform::log_record &record)
{
    const bool isPresent = met.offset() == table.offset();
    const auto digest = isPresent ? std::optional(table.digest()) : history.digestAt(met.offset());
    if (digest && *digest != met.digest()) {
        ++counters.divergences;
        return;
    }
    if (met.offset() >= newest.covers) {
        newest = {met.offset(), record.offset, record.appendedAt};
    }
}

void replayer::state::adopt(detail::table taken)
{
    table = std::move(taken);
    history.clear();
    ++counters.basesTaken;
    replayPending();
}

void replayer::state::replayPending()
{
    std::deque<platform::log_record> records = std::move(pending);
    pending.clear();
    for (const platform::log_record &record : records) {
        if (record.offset <= table.offset()) {
            continue;
        }
        read(record);
    }
    next = std::max(next, table.offset() + 1);
}

void replayer::state::publish()
{
    if (published->offset != table.offset()) {
        published = std::make_shared<const snapshot>(table.resources());
    }
}

replayer::replayer() : m_state(std::make_unique<state>()) { }
replayer::~replayer() = default;
replayer::replayer(replayer &&) noexcept = default;
replayer &replayer::operator=(replayer &&) noexcept = default;

replay_state replayer::onRecords(const platform::log_batch &batch)
{
    state &s = *m_state;
    if (batch.end < s.next) {
        ++s.counters.regressed;
        return replay_state::regressed;
    }
    s.head = std::max(s.head, batch.head);
    s.end = std::max(s.end, batch.end);
    s.take(batch);
    if (!s.hasBase()) {
        return replay_state::needs_base;
    }
    s.ready = s.ready || s.next >= batch.end;
    return replay_state::current;
}

replay_state replayer::onPeerRecords(const platform::log_batch &batch)
{
    state &s = *m_state;
    if (batch.head <= s.next) {
        s.take(batch);
    }
    if (!s.hasBase()) {
        return replay_state::needs_base;
    }
    s.ready = s.ready || s.next >= batch.end;
    return replay_state::current;
}

bool replayer::onPeerState(std::string_view encodedSnapshot)
{
    state &s = *m_state;
    detail::decoded content = detail::decodePayload(encodedSnapshot);
    auto *met = std::get_if<detail::table>(&content);
    if (met == nullptr || met->offset() <= s.table.offset()) {
        return false;
    }
    if (!s.pending.empty() && met->offset() + 1 < s.pending.front().offset) {
        s.pending.clear();
        s.base.reset();
        s.next = met->offset() + 1;
    }
    s.adopt(std::move(*met));
    s.ready = true;
    s.publish();
    return true;
}

snapshot_ptr replayer::current() const
{
    return m_state->published;
}

platform::log_offset replayer::nextOffset() const
{
    return m_state->next;
}

bool replayer::isReady() const
{
    return m_state->ready;
}

std::optional<change_outcome> replayer::outcomeOf(std::string_view changeId) const
{
    const detail::decided_change *decided = m_state->table.findDecided(changeId);
    return decided == nullptr ? std::nullopt : std::optional(decided->outcome);
}

std::optional<change_outcome> replayer::outcomeOf(const change &what) const
{
    const detail::decided_change *decided = m_state->table.findDecided(what.id);
    if (decided == nullptr) {
        return std::nullopt;
    }
    if (decided->contentHash != contentHash(what)) {
        return change_outcome{change_status::invalid, 0, "change_id", "is the id of another change"};
    }
    return decided->outcome;
}

change_outcome replayer::check(const change &what) const
{
    if (const auto outcome = outcomeOf(what)) {
        return *outcome;
    }
    return detail::preview(m_state->table, what, m_state->next);
}

std::string replayer::encodeSnapshot() const
{
    return detail::encodeTable(m_state->table);
}

bool replayer::isSnapshotDue(std::uint64_t records) const
{
    return recordsSinceSnapshot() > records;
}

std::uint64_t replayer::recordsSinceSnapshot() const
{
    return m_state->history.changesAbove(m_state->newest.covers);
}

snapshot_mark replayer::newestSnapshot() const
{
    return m_state->newest;
}

platform::log_offset replayer::logHead() const
{
    return m_state->head;
}

platform::log_offset replayer::logEnd() const
{
    return m_state->end;
}

replay_counters replayer::counters() const
{
    replay_counters counters = m_state->counters;
    counters.skipped = m_state->table.skipped();
    return counters;
}

std::optional<platform::log_batch> replayer::recordsFrom(platform::log_offset from, std::size_t limit) const
{
    if (!m_state->ready) {
        return std::nullopt;
    }
    return m_state->history.recordsFrom(from, m_state->table.offset() + 1, limit);
}

} // namespace masticlever::configuration
