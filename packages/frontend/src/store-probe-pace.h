#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>

/// \file
/// When an instance asks a store that no instance of the fleet reaches. Answers outages of the store: the fleet's calls
/// stay at a fixed rate, however large it is, and the first instance that is answered tells the others by gossip.

namespace masticlever::frontend
{

struct store_probe_options {
    common::duration gap = std::chrono::milliseconds(80); ///< between two calls of the whole fleet
    double leastPause = 0.25; ///< after a call of this instance, as a part of its interval
};

class store_probe_pace
{
public:
    /// \p key differs between instances and spreads their calls.
    store_probe_pace(store_probe_options options, std::uint64_t key) : m_options(options), m_key(key) { }

    /// Before that this instance does not ask again after a call at \p calledAt, when \p instances all try.
    common::instant nextAfter(common::instant calledAt, std::size_t instances) const;

private:
    store_probe_options m_options;
    std::uint64_t m_key;
};

} // namespace masticlever::frontend
