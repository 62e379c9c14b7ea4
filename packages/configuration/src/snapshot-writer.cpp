#include <masticlever/configuration/snapshot-writer.h>

namespace masticlever::configuration
{

namespace
{

/// The newest snapshot lies in the older half of the retained records.
bool isNearHead(const replayer &replayed)
{
    const platform::log_offset head = replayed.logHead();
    const platform::log_offset afterCovered = replayed.newestSnapshot().covers + 1;
    const platform::log_offset slack = afterCovered > head ? afterCovered - head : 0;
    return head > 1 && slack < (replayed.logEnd() - head) / 2;
}

} // namespace

std::optional<std::string> snapshot_writer::poll(const replayer &replayed, std::size_t rank, common::instant now,
                                                 common::wall_time wallNow)
{
    if (!isDue(replayed, wallNow)) {
        m_dueSince.reset();
        return std::nullopt;
    }
    if (!m_dueSince) {
        m_dueSince = now;
    }
    const common::instant turn = *m_dueSince + m_options.stagger * static_cast<common::duration::rep>(rank);
    const bool isReadBack = m_awaited != 0 && replayed.newestSnapshot().covers >= m_awaited;
    if (m_inFlight || now < turn || (now < m_notBefore && !isReadBack)) {
        return std::nullopt;
    }
    m_inFlight = true;
    m_awaited = replayed.current()->offset;
    return replayed.encodeSnapshot();
}

void snapshot_writer::onAppendEnded(bool isAppended, common::instant now)
{
    m_inFlight = false;
    m_notBefore = now + m_options.retryInterval;
    if (!isAppended) {
        m_awaited = 0;
    }
}

bool snapshot_writer::isDue(const replayer &replayed, common::wall_time wallNow) const
{
    if (!replayed.isReady() || replayed.current()->offset == 0) {
        return false;
    }
    const snapshot_mark newest = replayed.newestSnapshot();
    const bool isAbsent = newest.offset == 0;
    const bool isOld = wallNow - newest.appendedAt >= m_options.refresh;
    return isAbsent || isOld || replayed.isSnapshotDue(m_options.records) || isNearHead(replayed);
}

} // namespace masticlever::configuration
