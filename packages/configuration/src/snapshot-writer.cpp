#include <masticlever/configuration/snapshot-writer.h>

namespace masticlever::configuration
{

namespace
{

/// Whether the newest snapshot covers an offset in the older half of the retained records.
bool isNearHead(const replayer &replay)
{
    const platform::log_offset head = replay.logHead();
    const platform::log_offset firstUncovered = replay.newestSnapshot().covers + 1;
    const platform::log_offset distance = firstUncovered > head ? firstUncovered - head : 0;
    return head > 1 && distance < (replay.logEnd() - head) / 2;
}

} // namespace

std::optional<std::string> snapshot_writer::poll(const replayer &replay, std::size_t rank, common::instant now,
                                                 common::wall_time wallNow)
{
    if (!isDue(replay, wallNow)) {
        m_dueSince.reset();
        return std::nullopt;
    }
    if (!m_dueSince) {
        m_dueSince = now;
    }
    const common::instant earliest = *m_dueSince + m_options.stagger * static_cast<common::duration::rep>(rank);
    const bool isReplayed = m_awaitedOffset != 0 && replay.newestSnapshot().covers >= m_awaitedOffset;
    if (m_inFlight || now < earliest || (now < m_notBefore && !isReplayed)) {
        return std::nullopt;
    }
    m_inFlight = true;
    m_awaitedOffset = replay.current()->offset;
    return replay.encodeSnapshot();
}

void snapshot_writer::onAppendEnded(bool isAppended, common::instant now)
{
    m_inFlight = false;
    m_notBefore = now + m_options.retryInterval;
    if (!isAppended) {
        m_awaitedOffset = 0;
    }
}

bool snapshot_writer::isDue(const replayer &replay, common::wall_time wallNow) const
{
    if (!replay.isReady() || replay.current()->offset == 0) {
        return false;
    }
    const snapshot_record newest = replay.newestSnapshot();
    const bool isMissing = newest.offset == 0;
    const bool isOld = wallNow - newest.appendedAt >= m_options.maximumAge;
    return isMissing || isOld || replay.isSnapshotDue(m_options.records) || isNearHead(replay);
}

} // namespace masticlever::configuration
