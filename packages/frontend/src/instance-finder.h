#pragma once

#include "store-connection.h"

#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/protocol/wire-protocol.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// \file
/// Publishes the address of this instance in the store, again whenever the store was restored, and lists the addresses
/// of the others: after the own publication, and repeatedly while no other instance is known.

namespace masticlever::frontend
{

class instance_finder
{
public:
    using contacts_handler = std::function<void(std::vector<std::string> contacts)>;

    /// \p settings must outlive this object.
    instance_finder(const protocol::wire_protocol &protocol, const frontend_settings &settings,
                    net::receive_budget &budget, contacts_handler onContacts);

    void onTick(std::size_t liveInstances, common::instant now);
    /// The record of this instance may be missing from the copy; it is published again within \c republishPeriod.
    void onStoreRestored(std::uint64_t generation, common::instant now);

private:
    void publish(std::size_t liveInstances, common::instant now);
    /// Collects the published addresses page by page; \p contacts holds those collected so far.
    void list(std::vector<std::string> contacts, const std::string &afterKey, common::instant now);
    void onListing(std::vector<std::string> contacts, common::result<store_connection::store_answer> answer);

    const protocol::wire_protocol &m_protocol;
    const frontend_settings &m_settings;
    contacts_handler m_onContacts;
    store_connection m_connection;
    bool m_hasPublished = false;
    bool m_hasListed = false;
    std::uint64_t m_storeGeneration = 0; ///< the newest that is known
    common::instant m_dueAt;
};

} // namespace masticlever::frontend
