#include "instance-finder.h"

#include "frontend-context.h"

#include <masticlever/common/digest.h>
#include <masticlever/net/stream-socket.h>
#include <masticlever/telemetry/events.h>

#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr common::duration listingInterval = std::chrono::seconds(2); ///< interval while no other instance is known
constexpr common::duration republishPeriod = std::chrono::seconds(2); ///< spreads the calls of a large fleet
constexpr common::duration callTimeout = std::chrono::seconds(2);
constexpr int success = 200;

} // namespace

instance_finder::instance_finder(const protocol::wire_protocol &protocol, const frontend_settings &settings,
                                 net::receive_budget &budget, contacts_handler onContacts)
    : m_protocol(protocol), m_settings(settings), m_onContacts(std::move(onContacts)),
      m_connection(settings.storeAddress, budget)
{ }

void instance_finder::onTick(std::size_t liveInstances, common::instant now)
{
    m_connection.onTick(now);
    if (m_connection.isBusy() || now < m_dueAt) {
        return;
    }
    if (!m_hasPublished) {
        publish(liveInstances, now);
    } else if (liveInstances <= 1 || !m_hasListed) {
        list(m_settings.contacts, {}, now);
    }
}

void instance_finder::onStoreRestored(std::uint64_t generation, common::instant now)
{
    m_storeGeneration = generation;
    m_hasPublished = false;
    const std::uint64_t key = common::stableHash(m_settings.name);
    m_dueAt = now + common::duration(key % static_cast<std::uint64_t>(republishPeriod.count()));
}

void instance_finder::publish(std::size_t liveInstances, common::instant now)
{
    const auto call
        = m_protocol.publishCall(protocol::store_topic::instances, m_settings.name, m_settings.gossipAddress);
    m_connection.call(
        call, callTimeout,
        [this, liveInstances](const common::result<store_connection::store_answer> &answer) {
            const common::instant answeredAt = monotonicNow();
            const std::uint64_t generation
                = answer ? m_protocol.storeGeneration(answer.value().head).value_or(m_storeGeneration) : 0;
            m_hasPublished = answer && answer.value().head.status == success && generation >= m_storeGeneration;
            m_dueAt = answeredAt + listingInterval;
            if (m_hasPublished) {
                logEvent(event::instance_published,
                         {{"generation", generation}, {"address", std::string_view(m_settings.gossipAddress)}});
                if (liveInstances <= 1 || !m_hasListed) {
                    list(m_settings.contacts, {}, answeredAt);
                }
            }
        },
        now);
}

void instance_finder::list(std::vector<std::string> contacts, const std::string &afterKey, common::instant now)
{
    m_connection.call(
        m_protocol.listCall(protocol::store_topic::instances, afterKey), callTimeout,
        [this, contacts = std::move(contacts)](common::result<store_connection::store_answer> answer) mutable {
            onListing(std::move(contacts), std::move(answer));
        },
        now);
}

void instance_finder::onListing(std::vector<std::string> contacts,
                                common::result<store_connection::store_answer> answer)
{
    const common::instant now = monotonicNow();
    m_dueAt = now + listingInterval;
    if (!answer) {
        return;
    }
    const auto page = m_protocol.readListing(answer.value().head.status, answer.value().body);
    if (!page) {
        return;
    }
    for (const protocol::store_record &record : page.value().records) {
        if (record.value && net::parseAddress(*record.value) && *record.value != m_settings.gossipAddress) {
            contacts.push_back(*record.value);
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        list(std::move(contacts), page.value().records.back().key, now);
        return;
    }
    m_hasListed = true;
    m_onContacts(std::move(contacts));
}

} // namespace masticlever::frontend
