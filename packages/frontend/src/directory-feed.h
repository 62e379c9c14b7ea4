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
#include <vector>

/// \file
/// One instance reads the endpoints' registrations for the others, so that the calls to the store do not grow with
/// the fleet. An instance that hears nothing for a while reads for itself.

namespace masticlever::frontend
{

struct directory_feed_options {
    /// After news for so long nothing is read here. With a read that follows at once, a leaving endpoint is known
    /// within the two seconds that it grants.
    common::duration freshFor = std::chrono::milliseconds(1200);
    common::duration avoidFor = std::chrono::seconds(3); ///< a reader that was silent or is gone
};

class directory_feed
{
public:
    struct event_handlers {
        std::function<void(std::span<const std::uint64_t> subscribers, const stages::home_message &message)> send;
        std::function<void(stages::directory_message message)> onNews;
    };

    directory_feed(directory_feed_options options, event_handlers handlers);
    ~directory_feed();

    void setMembers(const std::vector<stages::home_candidate> &members, const std::string &self,
                    std::uint64_t configurationVersion, common::instant now);
    /// Told everything by the next read: what is remembered here may be out of date.
    void onSubscriber(std::uint64_t subscriber) { m_subscribers[subscriber] = false; }
    void onSubscriberGone(std::uint64_t subscriber) { m_subscribers.erase(subscriber); }
    /// This instance has read the registrations: tells the subscribers.
    void onRead(const std::vector<catalog::endpoint_record> &records, std::uint64_t configurationVersion);
    void onTick(common::instant now);

    /// Until when nothing has to be read here; in the past when this instance has to read.
    common::instant freshUntil() const { return m_subscribers.empty() ? m_freshUntil : common::instant{}; }

private:
    void follow(const std::string &address, std::uint64_t configurationVersion, common::instant now);
    void unfollow();

    directory_feed_options m_options;
    event_handlers m_handlers;
    std::unique_ptr<home_link> m_link;
    std::unique_ptr<home_link> m_ended; ///< deleted outside of its own calls
    std::string m_reader; ///< address; empty: this instance reads
    common::instant m_followedAt;
    common::instant m_freshUntil;
    stages::avoided_homes m_avoided;
    std::map<std::uint64_t, bool> m_subscribers; ///< whether it has been told everything
    std::map<std::string, catalog::endpoint_record> m_told; ///< by id, as the subscribers know it
};

} // namespace masticlever::frontend
