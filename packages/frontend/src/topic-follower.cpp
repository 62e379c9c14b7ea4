#include <masticlever/frontend/topic-follower.h>

#include <algorithm>
#include <utility>

namespace masticlever::frontend
{

std::optional<topic_call> topic_follower::next(common::instant now)
{
    if (m_isInFlight || now < m_dueAt) {
        return std::nullopt;
    }
    m_isInFlight = true;
    m_calledAt = now;
    if (m_isListing) {
        return topic_call{true, m_afterKey, 0, {}, m_options.timeout};
    }
    const common::duration wait = std::exchange(m_isDeferred, false) ? common::duration{} : waitTime();
    return topic_call{false, {}, m_from, wait, wait + m_options.timeout};
}

bool topic_follower::acceptGeneration(std::uint64_t generation, common::instant now)
{
    if (generation < m_generation) {
        m_isInFlight = false;
        m_dueAt = now + m_options.initialBackoff;
        return false;
    }
    const std::uint64_t former = std::exchange(m_generation, generation);
    if (former == 0 || former == generation) {
        return true;
    }
    const bool isFirstPage = m_isListing && m_afterKey.empty();
    restart(listing_reason::restored, now);
    m_isInFlight = isFirstPage; // a first page begins the listing of the new generation
    return isFirstPage;
}

void topic_follower::onStoreRestored(std::uint64_t generation, common::instant now)
{
    if (generation <= m_generation) {
        return;
    }
    if (std::exchange(m_generation, generation) != 0) {
        restart(listing_reason::restored, now);
    }
}

void topic_follower::onAnswered(common::instant now)
{
    m_isInFlight = false;
    m_isExpedited = false;
    m_isReachable = true;
    m_answeredAt = now;
    m_backoff = {};
}

topic_update topic_follower::onListing(protocol::listing_page page, common::instant now)
{
    onAnswered(now);
    m_dueAt = now;
    if (!m_listedEnd) {
        m_listedEnd = page.end;
        m_listedKeys.clear();
    }
    for (const protocol::store_record &record : page.records) {
        m_listedKeys.push_back(record.key);
        m_afterKey = record.key;
    }
    topic_update update;
    const bool isLast = !page.hasMore || page.records.empty();
    update.records = std::move(page.records);
    if (isLast) {
        m_isListing = false;
        m_hasListed = true;
        m_from = *std::exchange(m_listedEnd, std::nullopt);
        m_afterKey.clear();
        update.isCompleteListing = true;
        update.listedKeys = std::exchange(m_listedKeys, {});
        update.reason = m_reason;
        update.position = m_from;
        m_dueAt = now + std::max(readDelay(), m_options.firstReadDelay);
    }
    return update;
}

topic_update topic_follower::onRecords(protocol::record_page page, common::instant now)
{
    onAnswered(now);
    m_from = std::max(m_from, page.end);
    m_dueAt = now + readDelay();
    topic_update update;
    update.records = std::move(page.records);
    return update;
}

void topic_follower::onTruncated(common::instant now)
{
    m_isReachable = true;
    restart(listing_reason::truncated, now);
    m_isInFlight = false;
}

void topic_follower::onFailure(common::instant now)
{
    m_isInFlight = false;
    m_isReachable = false;
    m_backoff = m_backoff.count() == 0 ? m_options.initialBackoff : std::min(m_backoff * 2, m_options.maximumBackoff);
    m_dueAt = now + m_backoff;
}

void topic_follower::onCancelled(common::instant now)
{
    m_isInFlight = false;
    m_dueAt = now;
}

void topic_follower::expedite(common::instant now)
{
    m_isExpedited = true;
    m_dueAt = std::min(m_dueAt, std::max(now, m_calledAt + m_options.expediteInterval));
}

void topic_follower::defer(common::instant until)
{
    // A listing after a restore repeats what the other instance has read, unless it has begun.
    const bool isListingNeeded = m_isListing && (m_reason != listing_reason::restored || m_listedEnd);
    if (m_hasListed && !isListingNeeded && !m_isExpedited) {
        m_dueAt = std::max(m_dueAt, until);
        m_isDeferred = true;
    }
}

void topic_follower::scheduleAt(common::instant at)
{
    m_dueAt = m_isInFlight ? m_dueAt : at;
}

void topic_follower::delayRetry(common::instant until)
{
    if (!m_isReachable && !m_isInFlight) {
        m_dueAt = std::max(m_dueAt, until);
    }
}

void topic_follower::onStoreReachable(common::instant now)
{
    if (!m_isReachable && !m_isInFlight) {
        m_dueAt = std::min(m_dueAt, now);
    }
}

void topic_follower::restart(listing_reason reason, common::instant now)
{
    m_reason = reason;
    m_isListing = true;
    m_afterKey.clear();
    m_listedEnd.reset();
    m_dueAt = now;
}

} // namespace masticlever::frontend
