#include <masticlever/frontend/topic-follower.h>

#include <algorithm>
#include <utility>

namespace masticlever::frontend
{

std::optional<follow_call> topic_follower::next(common::instant now)
{
    if (m_isUnderWay || now < m_dueAt) {
        return std::nullopt;
    }
    m_isUnderWay = true;
    m_calledAt = now;
    if (m_isListing) {
        return follow_call{true, m_afterKey, 0, {}, m_options.timeout};
    }
    const common::duration wait = std::exchange(m_isDeferred, false) ? common::duration{} : waitTime();
    return follow_call{false, {}, m_from, wait, wait + m_options.timeout};
}

void topic_follower::onAnswered(common::instant now)
{
    m_isUnderWay = false;
    m_isHurried = false;
    m_isReachable = true;
    m_answeredAt = now;
    m_retry = {};
}

follow_news topic_follower::onListing(protocol::listing_page page, common::instant now)
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
    follow_news news;
    const bool isLast = !page.hasMore || page.records.empty();
    news.records = std::move(page.records);
    if (isLast) {
        m_isListing = false;
        m_hasListed = true;
        m_from = *std::exchange(m_listedEnd, std::nullopt);
        m_afterKey.clear();
        news.isWholeListing = true;
        news.listedKeys = std::exchange(m_listedKeys, {});
        m_dueAt = now + std::max(pause(), m_options.settleTime);
    }
    return news;
}

follow_news topic_follower::onRecords(protocol::record_page page, common::instant now)
{
    onAnswered(now);
    m_from = std::max(m_from, page.end);
    m_dueAt = now + pause();
    return {std::move(page.records), false, {}};
}

void topic_follower::onTruncated(common::instant now)
{
    m_isReachable = true;
    restart(now);
    m_isUnderWay = false;
}

void topic_follower::onFailure(common::instant now)
{
    m_isUnderWay = false;
    m_isReachable = false;
    m_retry = m_retry.count() == 0 ? m_options.firstRetry : std::min(m_retry * 2, m_options.longestRetry);
    m_dueAt = now + m_retry;
}

void topic_follower::onInterrupted(common::instant now)
{
    m_isUnderWay = false;
    m_dueAt = now;
}

void topic_follower::hurry(common::instant now)
{
    m_isHurried = true;
    m_dueAt = std::min(m_dueAt, std::max(now, m_calledAt + m_options.hurryGap));
}

void topic_follower::defer(common::instant until)
{
    if (m_hasListed && !m_isListing && !m_isHurried) {
        m_dueAt = std::max(m_dueAt, until);
        m_isDeferred = true;
    }
}

void topic_follower::expect(common::instant at)
{
    m_dueAt = m_isUnderWay ? m_dueAt : at;
}

void topic_follower::holdRetry(common::instant until)
{
    if (!m_isReachable && !m_isUnderWay) {
        m_dueAt = std::max(m_dueAt, until);
    }
}

void topic_follower::restart(common::instant now)
{
    m_isListing = true;
    m_afterKey.clear();
    m_listedEnd.reset();
    m_dueAt = now;
}

} // namespace masticlever::frontend
