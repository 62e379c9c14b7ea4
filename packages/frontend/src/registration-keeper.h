#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/errors.h>
#include <masticlever/common/time.h>
#include <masticlever/frontend/topic-follower.h>
#include <masticlever/stages/home-messages.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

/// \file
/// What an instance believes of the endpoints: from its own reads of the store, from what another instance reads for
/// it, and from whether the store can be reached. Holds no socket and no clock.

namespace masticlever::frontend
{

using directory_changes = std::vector<catalog::directory_change>;

class registration_keeper
{
public:
    using record_reader
        = std::function<common::result<catalog::endpoint_record>(std::string_view id, std::string_view value)>;

    registration_keeper(catalog::endpoint_directory &directory, record_reader readRecord)
        : m_directory(directory), m_readRecord(std::move(readRecord))
    { }

    /// What this instance has read from the store. Records that cannot be read are logged and skipped.
    directory_changes onRead(const follow_news &news, common::instant now);
    /// What another instance has read from the store a moment ago.
    directory_changes onTold(const stages::directory_message &news, common::instant now);
    /// A call to the store was answered, or failed. \returns whether the store is back after a failure.
    bool onStoreReach(bool isReachable, common::instant now);
    directory_changes advance(common::instant now) { return m_directory.advance(now); }

    /// Whether the last call to the store failed.
    bool isStoreLost() const { return m_storeLostAt.has_value(); }
    /// Whether the store has been lost for longer than a failed call or two.
    bool isStoreAway(common::instant now) const;
    /// What may be passed on to others: what the store holds, without entries that are kept here through an outage.
    /// Nothing while the store cannot be reached.
    std::optional<std::vector<catalog::endpoint_record>> confirmed() const;
    /// Whether news until \p toldUntil replaces a read of the store. Not while the store is held for lost: only an own
    /// read ends that doubt, and with it the keeping of what has left.
    bool mayDeferRead(common::instant toldUntil, common::instant now) const;

private:
    catalog::endpoint_directory &m_directory;
    record_reader m_readRecord;
    std::optional<common::instant> m_storeLostAt;
};

} // namespace masticlever::frontend
