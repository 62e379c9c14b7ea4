#pragma once

#include "detail/run-table.h"

#include <deque>
#include <unordered_set>

/// \file
/// Queue of entries to be appended to the log. Entries that are added during an append are sent together as one record.

namespace masticlever::ledger::detail
{

using common::instant;

class outbox
{
public:
    /// \p options must outlive the outbox.
    explicit outbox(const ledger_options &options) : m_options(&options) { }

    /// Claims and checkpoints are sent once; every other entry is sent again until it is obsolete.
    void add(entry e, instant now);

    /// Removes a claim that has not been sent yet; returns false if it may reach the log.
    bool withdrawClaim(const std::string &nonce);

    /// Removes entries that have taken effect or can no longer take effect.
    void prune(const run_table &table);

    /// Returns the next record to append, unless an append is in flight or it is too early for another.
    std::optional<append_action> takeAppend(instant now);

    /// Returns the nonces of claims that certainly did not reach the log.
    std::vector<std::string> onEnded(std::uint64_t id, const common::result<platform::log_offset> &outcome,
                                     instant now);

    /// Treats an append without an outcome after claimTimeout as lost.
    void onTimer(instant now);
    instant nextWakeUp() const;
    bool hasEntryFor(const run_key &run) const;
    bool isEmpty() const { return m_items.empty(); }
    std::uint64_t appends() const { return m_appends; }
    std::uint64_t entriesSent() const { return m_entriesSent; }

private:
    struct item {
        entry content;
        std::string encoded;
        instant notBefore;
        std::uint64_t record = 0; ///< id of the append that contains it; 0 while it is queued
    };
    struct record_draft {
        std::vector<std::string> entries;
        /// Runs with an entry that is neither in this record nor read back yet; their claims wait.
        std::unordered_set<run_key> blocked;
        std::size_t bytes = 0;
    };

    bool fits(const record_draft &draft, const item &candidate) const;
    instant earliestAppend() const { return m_appends == 0 ? instant() : m_inFlightSince + m_options->appendInterval; }
    void completeAppend(instant now, common::duration retryAfter);

    const ledger_options *m_options;
    std::deque<item> m_items;
    std::uint64_t m_nextRecord = 1;
    std::uint64_t m_inFlight = 0; ///< id of the append in flight; 0 for none
    instant m_inFlightSince;
    std::uint64_t m_appends = 0;
    std::uint64_t m_entriesSent = 0;
};

} // namespace masticlever::ledger::detail
