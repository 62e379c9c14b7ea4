#pragma once

#include "home-link.h"
#include "home-server.h"

#include <masticlever/common/time.h>
#include <masticlever/stages/home-choice.h>
#include <masticlever/stages/stage-graph.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Gets stage results for the requests of this instance: sends their pieces to the homes of the services and asks
/// again elsewhere when a home is lost or silent.

namespace masticlever::frontend
{

struct piece_service_options {
    common::duration silenceLimit = std::chrono::milliseconds(500); ///< of a home that has pieces of ours
    common::duration avoidFor = std::chrono::milliseconds(1500); ///< a home that was lost or silent
    common::duration statusInterval = std::chrono::milliseconds(100);
};

class piece_service
{
public:
    using result_handler
        = std::function<void(std::uint64_t job, stages::piece_ref piece, const protocol::piece_result &result)>;

    using owner_handler = std::function<void(std::uint64_t owner, stages::home_message message)>;

    piece_service(piece_service_options options, const endpoint_access &access, catalog::endpoint_directory &directory,
                  result_handler onResult);
    ~piece_service();

    void setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration);
    void onDirectoryChanged() { m_server.onDirectoryChanged(); }
    /// Live instances; \p self is the incarnation of this one, which is always among them.
    void setMembers(std::vector<stages::home_candidate> members, const std::string &self);
    /// Another instance has connected to this home.
    void onConnection(int descriptor);
    /// Messages of connected instances that do not concern stage results, and their end.
    void setOwnerHandlers(owner_handler onMessage, std::function<void(std::uint64_t owner)> onGone);
    void sendToOwners(std::span<const std::uint64_t> owners, const stages::home_message &message);

    void submit(const std::string &service, stages::piece_wish wish, common::instant now);
    void cancel(std::uint64_t job);
    void release(const std::vector<std::string> &handles);
    bool isMakerGone(std::string_view handle) const;
    /// Where a result is held; empty when its maker is not known.
    std::string dataCentreOf(std::string_view handle) const;
    /// Expected time until a new piece would be made, from what its home last said; nothing when it has not.
    std::optional<common::duration> expectedDelay(const std::string &service, int priority) const;
    void onTick(common::instant now);
    /// This instance is leaving, and the others know it.
    void handBack() { m_server.handBack(); }
    /// After a pause of the process: what the links say is out of date.
    void onPause();

private:
    struct pending_wish {
        std::string service;
        stages::piece_wish wish; ///< with the pieces that are still awaited
        std::string home; ///< address; empty: this instance
    };

    struct link_entry {
        std::unique_ptr<home_link> link;
        common::instant waitsSince; ///< first wish sent while nothing was awaited
    };

    void dispatch(pending_wish &pending, common::instant now);
    home_link *linkTo(const std::string &address, common::instant now);
    void onHomeMessage(const std::string &address, stages::home_message message);
    void onHomeClosed(const std::string &address);
    void loseHome(const std::string &address, std::string_view reason, common::instant now);
    void onOwnerMessage(std::uint64_t owner, stages::home_message message);
    void onOwnerClosed(std::uint64_t owner);
    void onResults(std::uint64_t owner, stages::results_message message);
    void takeResults(const stages::results_message &message);
    void sendStatus(common::instant now);
    /// Tells an owner the present delays, so that what it answers to a caller is no older than the refusal.
    void sendStatusTo(std::uint64_t owner);
    void noteOwnDelays(const stages::status_message &status);
    const catalog::endpoint_record *findMaker(std::string_view handle) const;
    std::size_t awaitedFrom(const std::string &address) const;

    piece_service_options m_options;
    net::receive_budget &m_budget;
    catalog::endpoint_directory &m_directory;
    result_handler m_onResult;
    home_server m_server;
    std::vector<stages::home_candidate> m_members;
    std::string m_self;
    stages::avoided_homes m_avoided;
    std::multimap<std::uint64_t, pending_wish> m_pending; ///< by job
    std::map<std::string, link_entry, std::less<>> m_links; ///< to homes, by address
    std::map<std::uint64_t, std::unique_ptr<home_link>> m_owners; ///< instances whose home this is
    std::vector<std::unique_ptr<home_link>> m_ended; ///< deleted outside of their own calls
    std::map<std::string, std::string, std::less<>> m_services; ///< service that made a result, by handle
    std::map<std::string, std::vector<std::int64_t>, std::less<>> m_delays; ///< by service
    owner_handler m_onOtherMessage;
    std::function<void(std::uint64_t owner)> m_onOwnerGone;
    std::uint64_t m_lastOwner = 0;
    common::instant m_statusAt;
};

} // namespace masticlever::frontend
