#include "store-probe-schedule.h"

namespace masticlever::frontend
{

common::instant store_probe_schedule::nextAfter(common::instant calledAt, std::size_t instances) const
{
    const common::duration instanceInterval = m_options.callInterval * static_cast<common::duration::rep>(instances);
    if (instanceInterval.count() <= 0) {
        return calledAt;
    }
    const common::instant earliest = calledAt + common::scaled(instanceInterval, m_options.minimumPause);
    const auto phase = static_cast<common::duration::rep>(m_key % static_cast<std::uint64_t>(instanceInterval.count()));
    const auto elapsed = (earliest.time_since_epoch().count() - phase) % instanceInterval.count();
    const auto wait = elapsed <= 0 ? -elapsed : instanceInterval.count() - elapsed;
    return earliest + common::duration(wait);
}

} // namespace masticlever::frontend
