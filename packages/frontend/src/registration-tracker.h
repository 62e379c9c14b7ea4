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
/// Updates the endpoint directory of an instance from its own reads of the store, from updates of another instance that
/// reads for it, and from the reachability of the store. Uses no sockets and no clock.

namespace masticlever::frontend
{

using directory_changes = std::vector<catalog::directory_change>;

class registration_tracker
{
public:
    using record_reader
        = std::function<common::result<catalog::endpoint_record>(std::string_view id, std::string_view value)>;

    registration_tracker(catalog::endpoint_directory &directory, record_reader readRecord)
        : m_directory(directory), m_readRecord(std::move(readRecord))
    { }

    /// This instance has read records from the store. Malformed records are logged and skipped.
    directory_changes onRead(const topic_update &update, common::instant now);
    /// Another instance has just read records from the store.
    directory_changes onReaderUpdate(const stages::directory_message &update, common::instant now);
    /// A call to the store succeeded or failed. \returns whether the store has recovered after a failure.
    bool onStoreReachability(bool isReachable, common::instant now);
    void onStoreRestored(common::instant now) { m_directory.onStoreRestored(now); }
    directory_changes advance(common::instant now) { return m_directory.advance(now); }

    /// Whether the last call to the store failed.
    bool hasStoreFailed() const { return m_failingSince.has_value(); }
    /// Whether calls have failed for longer than one or two isolated failures take.
    bool isStoreUnreachable(common::instant now) const;
    /// Records that may be sent to other instances: those in the store, without entries that are only retained here
    /// because of an outage. No value while the store is unreachable.
    std::optional<std::vector<catalog::endpoint_record>> confirmedRecords() const;
    /// Whether updates that are fresh until \p freshUntil replace a read of the store. They do not after a failed call:
    /// only a successful read here shows that the store is reachable, and until then endpoints that have left are
    /// retained.
    bool mayDeferRead(common::instant freshUntil, common::instant now) const;

private:
    catalog::endpoint_directory &m_directory;
    record_reader m_readRecord;
    std::optional<common::instant> m_failingSince;
};

} // namespace masticlever::frontend
