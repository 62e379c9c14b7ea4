#include "store-probe-pace.h"

namespace masticlever::frontend
{

common::instant store_probe_pace::nextAfter(common::instant calledAt, std::size_t instances) const
{
    const common::duration interval = m_options.gap * static_cast<common::duration::rep>(instances);
    if (interval.count() <= 0) {
        return calledAt;
    }
    const common::instant earliest = calledAt + common::scaled(interval, m_options.leastPause);
    const auto phase = static_cast<common::duration::rep>(m_key % static_cast<std::uint64_t>(interval.count()));
    const auto past = (earliest.time_since_epoch().count() - phase) % interval.count();
    const auto wait = past <= 0 ? -past : interval.count() - past;
    return earliest + common::duration(wait);
}

} // namespace masticlever::frontend
