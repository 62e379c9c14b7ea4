#include "registration-keeper.h"

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

constexpr common::duration storeLossLimit = std::chrono::milliseconds(400); ///< failures for less are not an outage

void append(directory_changes &changes, directory_changes more)
{
    std::ranges::move(more, std::back_inserter(changes));
}

} // namespace

directory_changes registration_keeper::onRead(const follow_news &news, instant now)
{
    directory_changes changes;
    for (const protocol::store_record &record : news.records) {
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
    if (news.isWholeListing) {
        append(changes, m_directory.onListing(news.listedKeys, now));
    }
    return changes;
}

directory_changes registration_keeper::onTold(const stages::directory_message &news, instant now)
{
    directory_changes changes;
    std::vector<std::string> ids;
    for (const endpoint_record &record : news.changed) {
        append(changes, m_directory.onRecord(record, now));
        ids.push_back(record.id);
    }
    for (const std::string &id : news.removed) {
        append(changes, m_directory.onRemoved(id, now));
    }
    if (news.isWhole) {
        append(changes, m_directory.onListing(ids, now));
    }
    return changes;
}

bool registration_keeper::onStoreReach(bool isReachable, instant now)
{
    bool isBack = false;
    if (isReachable) {
        isBack = std::exchange(m_storeLostAt, std::nullopt).has_value();
    } else {
        m_storeLostAt = m_storeLostAt.value_or(now);
    }
    m_directory.onStoreReachable(isReachable, now);
    return isBack;
}

bool registration_keeper::isStoreAway(instant now) const
{
    return m_storeLostAt && now - *m_storeLostAt >= storeLossLimit;
}

std::optional<std::vector<endpoint_record>> registration_keeper::confirmed() const
{
    return isStoreLost() ? std::nullopt : std::optional(m_directory.records());
}

bool registration_keeper::mayDeferRead(instant toldUntil, instant now) const
{
    return now < toldUntil && !isStoreLost();
}

} // namespace masticlever::frontend
