#include "detail/outbox.h"

#include <masticlever/common/errors.h>

#include <algorithm>
#include <utility>

namespace masticlever::ledger::detail
{

namespace
{

bool isClaim(const entry &e)
{
    return std::holds_alternative<claim_entry>(e);
}

bool isSentOnce(const entry &e)
{
    return isClaim(e) || std::holds_alternative<checkpoint_entry>(e);
}

} // namespace

void outbox::add(entry e, instant now)
{
    std::string encoded = encodeEntry(e);
    m_items.push_back({std::move(e), std::move(encoded), now, 0});
}

bool outbox::withdrawClaim(const std::string &nonce)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(), [&](const item &i) {
        const auto *claim = std::get_if<claim_entry>(&i.content);
        return claim && claim->nonce == nonce;
    });
    if (found == m_items.end() || found->record != 0) {
        return false;
    }
    m_items.erase(found);
    return true;
}

void outbox::prune(const run_table &table)
{
    std::erase_if(m_items, [&](const item &i) { return !isSentOnce(i.content) && table.isObsolete(i.content); });
}

bool outbox::fits(const record_draft &draft, const item &candidate) const
{
    if (draft.entries.empty()) {
        return true;
    }
    return draft.entries.size() < m_options->maxEntriesPerRecord
        && draft.bytes + candidate.encoded.size() <= m_options->maxRecordBytes;
}

std::optional<append_action> outbox::takeAppend(instant now)
{
    if (m_inFlight != 0 || now < earliestAppend()) {
        return std::nullopt;
    }
    record_draft draft;
    for (item &i : m_items) {
        const run_key &run = runOf(i.content);
        const bool isDeferred = i.notBefore > now || !fits(draft, i);
        const bool isBlockedByOutcome = isClaim(i.content) && draft.blocked.contains(run);
        if (isDeferred || isBlockedByOutcome) {
            draft.blocked.insert(run);
            continue;
        }
        i.record = m_nextRecord;
        draft.bytes += i.encoded.size();
        draft.entries.push_back(i.encoded);
    }
    if (draft.entries.empty()) {
        return std::nullopt;
    }
    m_inFlight = m_nextRecord++;
    m_inFlightSince = now;
    ++m_appends;
    m_entriesSent += draft.entries.size();
    return append_action{m_inFlight, encodeRecord(draft.entries)};
}

void outbox::completeAppend(instant now, common::duration retryAfter)
{
    std::erase_if(m_items, [&](const item &i) { return i.record == m_inFlight && isSentOnce(i.content); });
    for (item &i : m_items) {
        if (i.record == m_inFlight) {
            i.record = 0;
            i.notBefore = now + retryAfter;
        }
    }
    m_inFlight = 0;
}

std::vector<std::string> outbox::onEnded(std::uint64_t id, const common::result<platform::log_offset> &outcome,
                                         instant now)
{
    std::vector<std::string> notAppended;
    if (id != m_inFlight || id == 0) {
        return notAppended;
    }
    const bool isNotAppended = !outcome && outcome.error() == common::error::unavailable;
    for (const item &i : m_items) {
        const auto *claim = std::get_if<claim_entry>(&i.content);
        if (isNotAppended && claim && i.record == id) {
            notAppended.push_back(claim->nonce);
        }
    }
    completeAppend(now, outcome ? m_options->claimTimeout : m_options->retryInterval);
    return notAppended;
}

void outbox::onTimer(instant now)
{
    if (m_inFlight != 0 && now >= m_inFlightSince + m_options->claimTimeout) {
        completeAppend(now, m_options->retryInterval);
    }
}

instant outbox::nextWakeUp() const
{
    if (m_inFlight != 0) {
        return m_inFlightSince + m_options->claimTimeout;
    }
    instant next = instant::max();
    for (const item &i : m_items) {
        next = std::min(next, std::max(i.notBefore, earliestAppend()));
    }
    return next;
}

bool outbox::hasEntryFor(const run_key &run) const
{
    return std::any_of(m_items.begin(), m_items.end(), [&](const item &i) { return runOf(i.content) == run; });
}

} // namespace masticlever::ledger::detail
