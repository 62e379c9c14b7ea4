#pragma once

#include "store-lane.h"

#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/protocol/site-protocol.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

/// \file
/// Publishes the address of this instance once, and finds those of the others: after its own publication, and again
/// while none of them is known.

namespace masticlever::frontend
{

class instance_finder
{
public:
    using contacts_handler = std::function<void(std::vector<std::string> contacts)>;

    /// \p settings must outlive this object.
    instance_finder(const protocol::site_protocol &protocol, const frontend_settings &settings,
                    net::receive_budget &budget, contacts_handler onContacts);

    void onTick(std::size_t liveInstances, common::instant now);

private:
    void publish(common::instant now);
    /// Collects the published addresses page by page, \p contacts being those so far.
    void list(std::vector<std::string> contacts, const std::string &afterKey, common::instant now);
    void onListing(std::vector<std::string> contacts, common::result<store_lane::store_answer> answer);

    const protocol::site_protocol &m_protocol;
    const frontend_settings &m_settings;
    contacts_handler m_onContacts;
    store_lane m_lane;
    bool m_hasPublished = false;
    bool m_hasListed = false;
    common::instant m_dueAt;
};

} // namespace masticlever::frontend
