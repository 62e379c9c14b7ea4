#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>

/// \file
/// Schedules the calls of an instance while no instance of the fleet reaches the store. During an outage the whole
/// fleet calls the store at a fixed rate, independent of its size, and the first instance that gets an answer reports
/// it to the others by gossip.

namespace masticlever::frontend
{

struct store_probe_options {
    common::duration callInterval = std::chrono::milliseconds(80); ///< between two calls of the fleet as a whole
    double minimumPause = 0.25; ///< shortest time between two calls of an instance, as a share of its interval
};

class store_probe_schedule
{
public:
    /// \p key must differ between instances, as it spreads their calls over time.
    store_probe_schedule(store_probe_options options, std::uint64_t key) : m_options(options), m_key(key) { }

    /// Returns the earliest time for the next call after one at \p calledAt, when \p instances share the rate.
    common::instant nextAfter(common::instant calledAt, std::size_t instances) const;

private:
    store_probe_options m_options;
    std::uint64_t m_key;
};

} // namespace masticlever::frontend
