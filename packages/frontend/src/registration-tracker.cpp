#include "registration-tracker.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace masticlever::frontend
{

using catalog::endpoint_record;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr common::duration outageThreshold = std::chrono::milliseconds(400); ///< shorter failures are not an outage

void append(directory_changes &changes, directory_changes more)
{
    std::ranges::move(more, std::back_inserter(changes));
}

} // namespace

directory_changes registration_tracker::onRead(const topic_update &update, instant now)
{
    directory_changes changes;
    for (const protocol::store_record &record : update.records) {
        if (!record.value) {
            append(changes, m_directory.onRemoved(record.key, now));
            continue;
        }
        const auto read = m_readRecord(record.key, *record.value);
        if (read) {
            append(changes, m_directory.onRecord(read.value(), now));
        } else {
            logEvent(event::record_ignored,
                     {{"topic", "endpoints"},
                      {"key", std::string_view(record.key)},
                      {"reason", "malformed"},
                      {"offset", record.offset}});
        }
    }
    if (update.isCompleteListing) {
        append(changes, m_directory.onListing(update.listedKeys, now));
    }
    return changes;
}

directory_changes registration_tracker::onReaderUpdate(const stages::directory_message &update, instant now)
{
    directory_changes changes;
    std::vector<std::string> ids;
    for (const endpoint_record &record : update.changed) {
        append(changes, m_directory.onRecord(record, now));
        ids.push_back(record.id);
    }
    for (const std::string &id : update.removed) {
        append(changes, m_directory.onRemoved(id, now));
    }
    if (update.isWhole) {
        append(changes, m_directory.onListing(ids, now));
    }
    return changes;
}

bool registration_tracker::onStoreReachability(bool isReachable, instant now)
{
    bool hasRecovered = false;
    if (isReachable) {
        hasRecovered = std::exchange(m_failingSince, std::nullopt).has_value();
    } else {
        m_failingSince = m_failingSince.value_or(now);
    }
    m_directory.setStoreReachable(isReachable, now);
    return hasRecovered;
}

bool registration_tracker::isStoreUnreachable(instant now) const
{
    return m_failingSince && now - *m_failingSince >= outageThreshold;
}

std::optional<std::vector<endpoint_record>> registration_tracker::confirmedRecords() const
{
    return hasStoreFailed() ? std::nullopt : std::optional(m_directory.records());
}

bool registration_tracker::mayDeferRead(instant freshUntil, instant now) const
{
    return now < freshUntil && !hasStoreFailed();
}

} // namespace masticlever::frontend
