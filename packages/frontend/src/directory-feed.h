#pragma once

#include "home-link.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/stages/home-choice.h>
#include <masticlever/stages/home-messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// One instance, the reader, reads the endpoint registrations and the configuration from the store and sends updates to
/// the others, so that the number of store calls does not grow with the fleet. An instance that receives no updates for
/// a while reads the store itself.

namespace masticlever::frontend
{

struct directory_feed_options {
    /// How long after an update this instance does not read the store. With an immediate read after that, a leaving
    /// endpoint is known within its notice of two seconds.
    common::duration freshFor = std::chrono::milliseconds(1200);
    /// A reader that sends nothing for this long is replaced; meanwhile this instance reads the store itself. The limit
    /// must cover the first update: it holds all registrations, and after a start it goes to the whole fleet, which
    /// takes some seconds on a slow link.
    common::duration readerTimeout = std::chrono::seconds(5);
    common::duration avoidFor = std::chrono::seconds(3); ///< how long a lost or silent reader is not chosen again
    /// Limit on the bytes of one configuration for all subscribers together. Subscribers read a larger one from the
    /// store themselves, so that sending it does not delay other updates, which must arrive within two seconds.
    double configurationByteLimit = 4e6;
};

/// Decompresses the configuration text of an update. Returns an empty string for empty or malformed input.
std::string decompressConfiguration(std::string_view compressed);

/// The configuration in force here.
struct configuration_update {
    std::uint64_t version = 0;
    std::string_view text;
};

class directory_feed
{
public:
    struct event_handlers {
        std::function<void(std::span<const std::uint64_t> subscribers, const stages::home_message &message)> send;
        std::function<void(stages::directory_message message)> onUpdate;
        std::function<void()> onReaderLost; ///< the reader closed the connection, so the store must be read here
        std::function<void()> onReaderFollowed; ///< another reader, which knows nothing of this instance
        std::function<void(std::string_view bytes)> onEndpointLoad; ///< an update of the load of endpoints
    };

    directory_feed(directory_feed_options options, net::receive_budget &budget, event_handlers handlers);
    ~directory_feed();

    void setMembers(const std::vector<stages::home_candidate> &members, const std::string &self,
                    std::uint64_t configurationVersion, common::instant now);
    /// The subscriber gets a complete snapshot after the next read, as the records remembered here may be outdated.
    /// It gets the known evacuations at once, also while the store is unavailable.
    void onSubscriber(std::uint64_t subscriber, std::uint64_t configurationVersion);
    void onSubscriberGone(std::uint64_t subscriber) { m_subscribers.erase(subscriber); }
    /// This instance has read the registrations: sends the changes, or a snapshot, to each subscriber.
    void onRead(const std::vector<catalog::endpoint_record> &records, std::uint64_t storeGeneration,
                const configuration_update &configuration);
    /// The store was restored: updates of earlier generations no longer replace a read of the store.
    void onStoreRestored(std::uint64_t generation, common::instant now);
    /// A configuration came into force here: sends it to the subscribers that already have a snapshot.
    void onConfiguration(const configuration_update &configuration);
    /// Sends what is known of evacuations to the subscribers, and to the reader if one is followed later.
    void setEvacuations(std::vector<catalog::evacuation_record> records);
    void onTick(common::instant now);

    /// Sends a message to the reader, if this instance follows one.
    void sendToReader(const stages::home_message &message);

    bool isFollowing() const { return m_link != nullptr; }
    bool hasSubscribers() const { return !m_subscribers.empty(); }
    std::vector<std::uint64_t> subscribers() const;
    /// The time until which no read of the store is needed; in the past when this instance must read.
    common::instant freshUntil() const { return m_subscribers.empty() ? m_freshUntil : common::instant{}; }

private:
    struct subscriber_entry {
        std::uint64_t configurationVersion = 0; ///< the version that the subscriber has
        bool hasSnapshot = false; ///< whether all registrations have been sent to it
    };

    void follow(const std::string &address, std::uint64_t configurationVersion, common::instant now);
    void unfollow();
    void dropReader(std::string_view reason, common::instant now);
    void sendEvacuations(std::span<const std::uint64_t> subscribers);
    std::string textToSend(std::span<const std::uint64_t> subscribers, const configuration_update &configuration);
    const std::string &compressedText(const configuration_update &configuration);

    directory_feed_options m_options;
    net::receive_budget &m_budget;
    event_handlers m_handlers;
    std::unique_ptr<home_link> m_link;
    std::unique_ptr<home_link> m_ended; ///< deleted later, outside of its own handlers
    std::string m_reader; ///< address; empty: this instance reads
    common::instant m_lastMessageAt; ///< last message from the reader, or the time at which it was followed
    common::instant m_freshUntil;
    std::uint64_t m_storeGeneration = 0; ///< the newest that is known
    stages::unavailable_homes m_avoided;
    std::map<std::uint64_t, subscriber_entry> m_subscribers;
    std::vector<catalog::evacuation_record> m_evacuations;
    std::string m_compressed; ///< the compressed text of m_compressedVersion
    std::uint64_t m_compressedVersion = 0;
    std::map<std::string, catalog::endpoint_record> m_sentRecords; ///< by id, as last sent to the subscribers
};

} // namespace masticlever::frontend
