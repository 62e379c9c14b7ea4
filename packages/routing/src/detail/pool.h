#pragma once

#include "health.h"

#include <masticlever/routing/router.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

/// \file
/// The endpoints of one pool and which of them may take a call.

namespace masticlever::routing::detail
{

struct member {
    candidate view;
    endpoint_health health;
    bool draining = false;
    bool leaving = false;
    bool open = false; ///< stands in pool::m_open

    bool takesWork() const { return !draining && !leaving; }
};

class pool
{
public:
    std::vector<member> &members() { return m_members; }
    const std::vector<member> &members() const { return m_members; }

    /// Picks an endpoint by \p policy; nothing when none is left.
    member *choose(const choice_request &request, choice_policy &policy, const router_options &options);
    /// Ejects \p bad unless the floor forbids it.
    void eject(member &bad, const router_options &options, common::instant now);
    /// Ejects \p answered when it is far slower than the others.
    void ejectIfSlow(member &answered, const router_options &options, common::instant now);

    /// \p delay from sending to a call's first sign of life; \p streamed: it was a token.
    void onSign(common::duration delay, bool streamed);
    common::duration silenceLimit(const router_options &options) const;
    /// Takes over what \p previous has learnt about the pool as a whole.
    void inherit(const pool &previous);

private:
    bool isUsable(const member &candidate, const choice_request &request, common::duration silence) const;
    std::size_t outLimit(const router_options &options) const;
    void refresh(const choice_request &request, const router_options &options);
    void limitSilent(std::vector<bool> &usable, const router_options &options) const;
    member *dueProbe(const choice_request &request);
    member *anyLeft(const choice_request &request);

    std::vector<member> m_members;
    std::vector<candidate> m_open; ///< copies of the open members
    std::vector<std::size_t> m_openMember; ///< position in m_members of each of m_open
    bool m_stale = true;
    bool m_streamed = false;
    double m_signUs = 0; ///< moving average of the time to a sign of life
};

} // namespace masticlever::routing::detail
