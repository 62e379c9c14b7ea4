#include "detail/run-table.h"

#include <masticlever/common/digest.h>

#include <QByteArray>

#include <algorithm>
#include <limits>

namespace masticlever::ledger::detail
{

namespace
{

/// Upper bound of the difference between the clocks behind key times and the log's timestamps.
constexpr std::chrono::milliseconds maxClockDifference = std::chrono::seconds(10);
constexpr std::chrono::milliseconds sweepInterval = std::chrono::seconds(1);
/// Time for which a run that finishes after its window stays readable.
constexpr std::chrono::milliseconds lateFinishRetention = std::chrono::minutes(10);

std::array<std::uint8_t, 16> packUuid(const std::string &key)
{
    std::array<std::uint8_t, 16> bytes{};
    const QByteArray decoded = QByteArray::fromHex(QByteArray::fromStdString(key));
    std::copy_n(decoded.begin(), std::min<std::size_t>(bytes.size(), static_cast<std::size_t>(decoded.size())),
                bytes.begin());
    return bytes;
}

std::string unpackUuid(const std::array<std::uint8_t, 16> &bytes)
{
    std::string text = QByteArray(reinterpret_cast<const char *>(bytes.data()), bytes.size()).toHex().toStdString();
    constexpr std::array dashes{8, 13, 18, 23};
    for (const int position : dashes) {
        text.insert(static_cast<std::size_t>(position), 1, '-');
    }
    return text;
}

bool hasOpenClaim(const run_state &state, std::uint32_t stage, const std::string &nonce)
{
    return state.phase == run_phase::open && state.open->claimed == stage && state.open->nonce == nonce;
}

std::string_view digestOf(const run_state &state)
{
    return std::string_view(state.digestAndAnswer).substr(0, state.digestLength);
}

} // namespace

bool isWriter(const std::string &incarnation, const std::string &nonce)
{
    return !incarnation.empty() && nonce.starts_with(incarnation + '#');
}

void run_table::resetAfterTruncation(wall_time first)
{
    *this = run_table();
    m_firstRecordTime = first;
    m_logTime = first;
}

std::optional<packed_key> run_table::packedKeyOf(const run_key &run) const
{
    const auto team = m_teamNumbers.find(run.team);
    if (team == m_teamNumbers.end()) {
        return std::nullopt;
    }
    return packed_key{packUuid(run.key), team->second};
}

packed_key run_table::pack(const run_key &run)
{
    const auto [team, isNew] = m_teamNumbers.try_emplace(run.team, static_cast<std::uint32_t>(m_teams.size()));
    if (isNew) {
        m_teams.push_back(run.team);
    }
    return {packUuid(run.key), team->second};
}

run_key run_table::unpack(const packed_key &key) const
{
    return {m_teams[key.team], unpackUuid(key.uuid)};
}

run_state *run_table::findState(const packed_key &key)
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? nullptr : &found->second;
}

const run_state *run_table::find(const run_key &run) const
{
    const auto key = packedKeyOf(run);
    if (!key) {
        return nullptr;
    }
    const auto found = m_runs.find(*key);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool run_table::mayHaveUnreadRecords(const run_key &run) const
{
    const bool isTruncated = m_firstRecordTime != wall_time();
    return isTruncated && common::keyTime(run.key) <= m_firstRecordTime + maxClockDifference;
}

std::uint16_t run_table::internPipeline(const std::string &name)
{
    const auto found = std::find(m_pipelines.begin(), m_pipelines.end(), name);
    if (found != m_pipelines.end()) {
        return static_cast<std::uint16_t>(found - m_pipelines.begin());
    }
    m_pipelines.push_back(name);
    return static_cast<std::uint16_t>(m_pipelines.size() - 1);
}

void run_table::forEachOpen(const std::function<void(const run_key &, const run_state &)> &visit) const
{
    for (const packed_key &key : m_open) {
        visit(unpack(key), m_runs.at(key));
    }
}

void run_table::noteEntryOffset(const entry &e, const packed_key &key, platform::log_offset offset)
{
    if (run_state *state = findState(key)) {
        if (state->open) {
            state->open->lastEntryOffset = offset;
        }
        return;
    }
    if (mayHaveUnreadRecords(runOf(e))) {
        m_orphans[key] = offset;
    }
}

effect run_table::apply(const entry &e, platform::log_offset offset, wall_time appendedAt)
{
    advance(appendedAt);
    if (!std::holds_alternative<checkpoint_entry>(e)) {
        noteEntryOffset(e, pack(runOf(e)), offset);
    }
    return std::visit([&](const auto &typed) { return applyTo(typed, offset); }, e);
}

bool run_table::isClaimValid(const claim_entry &e, const run_state *state) const
{
    if (e.until < m_logTime) {
        return false;
    }
    if (!state) {
        return e.expected == 0 && !mayHaveUnreadRecords(e.run);
    }
    if (e.expected != state->at || state->phase == run_phase::finished) {
        return false;
    }
    if (state->phase == run_phase::refused) {
        return m_logTime - e.waited >= state->changedAt;
    }
    const open_run &open = *state->open;
    const bool isNextStage = !open.claimed && (!open.done || e.stage > *open.done);
    return isNextStage && e.owner == open.owner && e.digest == digestOf(*state);
}

void run_table::openRun(run_state &state, const packed_key &key, const claim_entry &e)
{
    state.phase = run_phase::open;
    state.digestAndAnswer = e.digest;
    state.digestLength = static_cast<std::uint16_t>(e.digest.size());
    state.pipeline = internPipeline(e.pipeline);
    state.open = std::make_unique<open_run>();
    state.open->checkpointedAt = m_logTime;
    m_open.insert(key);
}

effect run_table::applyTo(const claim_entry &e, platform::log_offset offset)
{
    const packed_key key = pack(e.run);
    run_state *state = findState(key);
    if (e.digest.size() > std::numeric_limits<std::uint16_t>::max() || !isClaimValid(e, state)) {
        return effect::none;
    }
    if (!state) {
        state = &m_runs[key];
    }
    if (state->phase != run_phase::open) {
        openRun(*state, key, e);
    }
    state->at = offset;
    state->until = std::max(state->until, e.until);
    state->changedAt = m_logTime;
    open_run &open = *state->open;
    open.position = e.position;
    open.owner = e.owner;
    open.nonce = e.nonce;
    open.claimed = e.stage;
    open.unknown = false;
    open.lastEntryOffset = offset;
    return effect::claimed;
}

void run_table::finish(run_state &state, const packed_key &key, const std::string &answer)
{
    state.phase = run_phase::finished;
    state.digestAndAnswer = std::string(digestOf(state)) + answer;
    state.digestAndAnswer.shrink_to_fit();
    state.open.reset();
    m_open.erase(key);
}

effect run_table::finishStage(run_state &state, const packed_key &key, const std::string &result,
                              const std::string &answer)
{
    state.changedAt = m_logTime;
    state.open->done = state.open->claimed;
    state.open->claimed.reset();
    state.open->doneResult = result;
    state.open->unknown = false;
    if (!answer.empty()) {
        finish(state, key, answer);
    }
    return effect::changed;
}

effect run_table::applyTo(const finish_entry &e, platform::log_offset /*offset*/)
{
    const packed_key key = pack(e.run);
    run_state *state = findState(key);
    if (!state || !hasOpenClaim(*state, e.stage, e.nonce)) {
        return effect::none;
    }
    return finishStage(*state, key, e.result, e.answer);
}

effect run_table::applyTo(const settle_entry &e, platform::log_offset /*offset*/)
{
    const packed_key key = pack(e.run);
    run_state *state = findState(key);
    if (!state || !hasOpenClaim(*state, e.stage, e.nonce)) {
        return effect::none;
    }
    return finishStage(*state, key, e.result, {});
}

effect run_table::applyTo(const answer_entry &e, platform::log_offset /*offset*/)
{
    const packed_key key = pack(e.run);
    run_state *state = findState(key);
    if (!state || state->phase != run_phase::open || state->at != e.expected || state->open->claimed) {
        return effect::none;
    }
    state->changedAt = m_logTime;
    finish(*state, key, e.answer);
    return effect::changed;
}

void run_table::refuse(run_state &state, const packed_key &key, const refuse_entry &e, platform::log_offset offset)
{
    state.phase = run_phase::refused;
    state.at = offset;
    state.until = std::max(state.until, e.until);
    state.changedAt = m_logTime + e.hold;
    state.digestAndAnswer = std::string();
    state.digestLength = 0;
    state.pipeline = 0;
    state.open.reset();
    m_open.erase(key);
}

effect run_table::voidClaim(run_state &state, const packed_key &key, const refuse_entry &e, platform::log_offset offset)
{
    open_run &open = *state.open;
    if (!open.done) {
        refuse(state, key, e, offset);
        return effect::refused;
    }
    state.at = offset;
    state.changedAt = m_logTime;
    open.claimed.reset();
    open.nonce.clear();
    open.unknown = false;
    return effect::refused;
}

effect run_table::applyTo(const refuse_entry &e, platform::log_offset offset)
{
    const packed_key key = pack(e.run);
    run_state *state = findState(key);
    if (!e.nonce.empty()) {
        const bool isOwnClaim = state && state->open && state->open->claimed && state->open->nonce == e.nonce;
        return isOwnClaim && isWriter(e.owner, e.nonce) ? voidClaim(*state, key, e, offset) : effect::none;
    }
    const bool isAbsent = !state && !mayHaveUnreadRecords(e.run) && e.until >= m_logTime;
    const bool isRefused = state && state->phase == run_phase::refused;
    const epoch current = state ? state->at : 0;
    if (e.expected != current || !(isAbsent || isRefused)) {
        return effect::none;
    }
    refuse(m_runs[key], key, e, offset);
    return effect::refused;
}

effect run_table::applyTo(const take_entry &e, platform::log_offset offset)
{
    run_state *state = findState(pack(e.run));
    if (!state || state->phase != run_phase::open || state->at != e.expected) {
        return effect::none;
    }
    state->at = offset;
    state->changedAt = m_logTime;
    state->open->owner = e.owner;
    return effect::taken;
}

effect run_table::applyTo(const unknown_entry &e, platform::log_offset /*offset*/)
{
    run_state *state = findState(pack(e.run));
    if (!state || !hasOpenClaim(*state, e.stage, e.nonce) || state->open->unknown) {
        return effect::none;
    }
    state->changedAt = m_logTime;
    state->open->unknown = true;
    return effect::changed;
}

effect run_table::applyTo(const checkpoint_entry &e, platform::log_offset /*offset*/)
{
    const packed_key key = pack(e.run);
    if (run_state *state = findState(key)) {
        if (state->open && e.asOf >= state->open->lastEntryOffset) {
            state->open->checkpointedAt = m_logTime;
        }
        return effect::none;
    }
    const auto orphan = m_orphans.find(key);
    const bool isStale = orphan != m_orphans.end() && orphan->second > e.asOf;
    if (!mayHaveUnreadRecords(e.run) || isStale) {
        return effect::none;
    }
    if (orphan != m_orphans.end()) {
        m_orphans.erase(orphan);
    }
    run_state &state = m_runs[key];
    state.phase = run_phase::open;
    state.at = e.at;
    state.until = e.until;
    state.changedAt = e.changedAt;
    state.digestAndAnswer = e.digest;
    state.digestLength = static_cast<std::uint16_t>(e.digest.size());
    state.pipeline = internPipeline(e.pipeline);
    state.open = std::make_unique<open_run>(e.open);
    state.open->lastEntryOffset = e.asOf;
    state.open->checkpointedAt = m_logTime;
    m_open.insert(key);
    return effect::changed;
}

void run_table::advance(wall_time appendedAt)
{
    m_logTime = std::max(m_logTime, appendedAt);
    if (m_logTime < m_nextSweep) {
        return;
    }
    m_nextSweep = m_logTime + sweepInterval;
    for (auto it = m_runs.begin(); it != m_runs.end() && it->second.until < m_logTime;) {
        const run_state &state = it->second;
        const bool isKept = state.phase == run_phase::open || state.changedAt + lateFinishRetention >= m_logTime;
        it = isKept ? std::next(it) : m_runs.erase(it);
    }
}

} // namespace masticlever::ledger::detail
