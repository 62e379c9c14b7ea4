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
/// One instance reads the endpoints' registrations and the configuration for the others, so that the calls to the store
/// do not grow with the fleet. An instance that hears nothing for a while reads for itself.

namespace masticlever::frontend
{

struct directory_feed_options {
    /// After news for so long nothing is read here. With a read that follows at once, a leaving endpoint is known
    /// within the two seconds that it grants.
    common::duration freshFor = std::chrono::milliseconds(1200);
    /// A reader that is silent for so long is replaced. Meanwhile an instance reads for itself; the first news are all
    /// registrations, for the whole fleet after a start, which take some seconds on a slow link.
    common::duration silenceLimit = std::chrono::seconds(5);
    common::duration avoidFor = std::chrono::seconds(3); ///< a reader that was silent or is gone
    /// Configurations that are larger for all subscribers together are read by each for itself: sending them must leave
    /// time for the rest of what is to be known within two seconds.
    double configurationBytes = 4e6;
};

/// The text that news of a configuration carry, as it was; empty for none, or for bytes that are no such text.
std::string unpackConfiguration(std::string_view packed);

/// The configuration in force here.
struct configuration_news {
    std::uint64_t version = 0;
    std::string_view text;
};

class directory_feed
{
public:
    struct event_handlers {
        std::function<void(std::span<const std::uint64_t> subscribers, const stages::home_message &message)> send;
        std::function<void(stages::directory_message message)> onNews;
        std::function<void()> onReaderLost; ///< it has closed the connection: what it would tell has to be read here
    };

    directory_feed(directory_feed_options options, net::receive_budget &budget, event_handlers handlers);
    ~directory_feed();

    void setMembers(const std::vector<stages::home_candidate> &members, const std::string &self,
                    std::uint64_t configurationVersion, common::instant now);
    /// Told everything by the next read: what is remembered here may be out of date.
    void onSubscriber(std::uint64_t subscriber, std::uint64_t configurationVersion)
    {
        m_subscribers[subscriber] = {configurationVersion, false};
    }
    void onSubscriberGone(std::uint64_t subscriber) { m_subscribers.erase(subscriber); }
    /// This instance has read the registrations: tells the subscribers.
    void onRead(const std::vector<catalog::endpoint_record> &records, const configuration_news &configuration);
    /// A configuration came into force here: tells those subscribers that have been told of the registrations.
    void onConfiguration(const configuration_news &configuration);
    void onTick(common::instant now);

    bool isFollowing() const { return m_link != nullptr; }
    bool hasSubscribers() const { return !m_subscribers.empty(); }
    /// Until when nothing has to be read here; in the past when this instance has to read.
    common::instant freshUntil() const { return m_subscribers.empty() ? m_freshUntil : common::instant{}; }

private:
    struct subscriber_entry {
        std::uint64_t configurationVersion = 0; ///< that it has
        bool isTold = false; ///< of all registrations
    };

    void follow(const std::string &address, std::uint64_t configurationVersion, common::instant now);
    void unfollow();
    void loseReader(std::string_view reason, common::instant now);
    std::string textFor(std::span<const std::uint64_t> subscribers, const configuration_news &configuration);
    const std::string &packedText(const configuration_news &configuration);

    directory_feed_options m_options;
    net::receive_budget &m_budget;
    event_handlers m_handlers;
    std::unique_ptr<home_link> m_link;
    std::unique_ptr<home_link> m_ended; ///< deleted outside of its own calls
    std::string m_reader; ///< address; empty: this instance reads
    common::instant m_heardAt; ///< from the reader, or when it was first followed
    common::instant m_freshUntil;
    stages::avoided_homes m_avoided;
    std::map<std::uint64_t, subscriber_entry> m_subscribers;
    std::string m_packed; ///< the compressed text of m_packedVersion
    std::uint64_t m_packedVersion = 0;
    std::map<std::string, catalog::endpoint_record> m_told; ///< by id, as the subscribers know it
};

} // namespace masticlever::frontend
