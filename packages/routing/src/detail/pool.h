#pragma once

#include "health.h"

#include <masticlever/routing/router.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

/// \file
/// The endpoints of one pool and the choice between them.

namespace masticlever::routing::detail
{

struct member {
    candidate view;
    endpoint_health health;
    bool draining = false;
    bool leaving = false;
    bool selectable = false; ///< has an entry in pool::m_selectable

    bool acceptsCalls() const { return !draining && !leaving; }
};

class pool
{
public:
    std::vector<member> &members() { return m_members; }
    const std::vector<member> &members() const { return m_members; }

    /// Chooses an endpoint by \p policy; nullptr if none is left.
    member *choose(const choice_request &request, choice_policy &policy, const router_options &options);
    /// Ejects \p failing unless router_options::maxUnavailableShare is reached. An ejected endpoint is ejected again.
    void eject(member &failing, const router_options &options, common::instant now);
    /// Ejects \p answered if it is far slower than the other endpoints.
    void ejectIfSlow(member &answered, const router_options &options, common::instant now);

    /// Records the delay from sending a call to its first response: a token if \p streamed, else the answer.
    /// Once a token was recorded, answers are ignored.
    void recordResponseDelay(common::duration delay, bool streamed);
    /// Time without a response after which an endpoint counts as unresponsive.
    common::duration unresponsiveLimit(const router_options &options) const;
    /// Copies the pool-wide statistics of \p previous.
    void copyStatistics(const pool &previous);

private:
    bool isUsable(const member &candidate, const choice_request &request, common::duration unresponsiveAfter) const;
    std::size_t maxUnavailable(const router_options &options) const;
    void refresh(const choice_request &request, const router_options &options);
    void limitUnavailable(std::vector<bool> &usable, const router_options &options) const;
    member *dueProbe(const choice_request &request);
    member *leastLoaded(const choice_request &request);

    std::vector<member> m_members;
    std::vector<candidate> m_selectable; ///< copies of the members that may be chosen
    std::vector<std::size_t> m_selectableIndex; ///< index in m_members of each element of m_selectable
    bool m_rebuildSelectable = true; ///< m_selectable has to be rebuilt
    bool m_streamed = false; ///< m_responseDelayUs is the delay of first tokens
    double m_responseDelayUs = 0; ///< moving average of the delay to the first response; 0 before the first
};

} // namespace masticlever::routing::detail
