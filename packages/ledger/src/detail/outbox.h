#pragma once

#include "detail/run-table.h"

#include <deque>
#include <unordered_set>

/// \file
/// Entries on their way to the log: collected while an append is under way, then sent as one record.

namespace masticlever::ledger::detail
{

using common::instant;

class outbox
{
public:
    /// \p options outlive the outbox.
    explicit outbox(const ledger_options &options) : m_options(&options) { }

    /// Claims and carries are sent once; every other entry is sent again until it is moot.
    void add(entry e, instant now);

    /// Removes a claim that no append has carried yet; false when it may reach the log.
    bool withdrawClaim(const std::string &nonce);

    /// Forgets entries that have taken effect or cannot take effect any more.
    void prune(const run_table &table);

    std::optional<append_action> takeAppend(instant now);

    /// Returns the nonces of claims that certainly have not reached the log.
    std::vector<std::string> onEnded(std::uint64_t id, const common::result<platform::log_offset> &outcome,
                                     instant now);

    /// An append without an end is taken for lost.
    void onTimer(instant now);
    instant nextWakeUp() const;
    bool isOutstanding(const run_key &run) const;
    bool isEmpty() const { return m_items.empty(); }
    std::uint64_t appends() const { return m_appends; }
    std::uint64_t entriesSent() const { return m_entriesSent; }

private:
    struct item {
        entry content;
        std::string encoded;
        instant notBefore;
        std::uint64_t record = 0; ///< append that carries it; 0 while it waits
    };
    struct record_draft {
        std::vector<std::string> entries;
        std::unordered_set<run_key> blocked; ///< runs with an outcome that is neither in this record nor read back
        std::size_t bytes = 0;
    };

    bool fits(const record_draft &draft, const item &candidate) const;
    instant earliestAppend() const { return m_appends == 0 ? instant() : m_inFlightSince + m_options->appendInterval; }
    void endRecord(instant now, common::duration retryAfter);

    const ledger_options *m_options;
    std::deque<item> m_items;
    std::uint64_t m_nextRecord = 1;
    std::uint64_t m_inFlight = 0; ///< id of the append under way; 0 for none
    instant m_inFlightSince;
    std::uint64_t m_appends = 0;
    std::uint64_t m_entriesSent = 0;
};

} // namespace masticlever::ledger::detail
