#pragma once

#include "home-link.h"
#include "home-server.h"

#include <masticlever/common/time.h>
#include <masticlever/stages/home-choice.h>
#include <masticlever/stages/stage-graph.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Gets stage results for the requests of this instance: submits their pieces to the homes of the services, and
/// resubmits them to another home when one disconnects or times out.

namespace masticlever::frontend
{

struct piece_service_options {
    /// Without a message from a home that has pending pieces.
    common::duration homeTimeout = std::chrono::milliseconds(500);
    /// Before a home that disconnected or timed out is chosen again.
    common::duration homeBackoff = std::chrono::milliseconds(1500);
    common::duration statusInterval = std::chrono::milliseconds(100);
};

class piece_service
{
public:
    using result_handler = std::function<void(std::uint64_t job, std::span<const stages::piece_outcome> outcomes)>;

    using owner_handler = std::function<void(std::uint64_t owner, stages::home_message message)>;

    piece_service(piece_service_options options, const endpoint_access &access, catalog::endpoint_directory &directory,
                  result_handler onResult);
    ~piece_service();

    void setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration);
    void onDirectoryChanged() { m_server.onDirectoryChanged(); }
    /// Sets the live instances that can be homes. \p self is the incarnation of this instance.
    void setMembers(std::vector<stages::home_candidate> members, const std::string &self);
    /// Another instance has connected to use this one as a home.
    void onConnection(int descriptor);
    /// Sets the handlers for messages of connected instances that do not concern stage results, and for the end of
    /// their connections.
    void setOwnerHandlers(owner_handler onMessage, std::function<void(std::uint64_t owner)> onGone);
    void sendToOwners(std::span<const std::uint64_t> owners, const stages::home_message &message);

    void submit(const std::string &service, stages::piece_request request, common::instant now);
    void cancel(std::uint64_t job);
    void release(const std::vector<std::string> &handles);
    /// Whether the endpoint that made a result is no longer usable, or not known.
    bool isProducerGone(std::string_view handle) const;
    /// Data centre that holds a result; empty when the endpoint that made it is not usable.
    std::string dataCentreOf(std::string_view handle) const;
    /// Expected time until a new piece is made, from the last status of the service's home; nothing without a status.
    std::optional<common::duration> expectedDelay(const std::string &service, int priority) const;
    void onTick(common::instant now);
    /// Returns the pieces that wait here to their owners. Called after this instance has announced that it is leaving.
    void failWaitingPieces() { m_server.failWaitingPieces(); }
    /// Drops the links to all homes and resubmits their pieces. Called after the process was paused, when what the
    /// links deliver is out of date.
    void onPause();

private:
    struct pending_pieces {
        std::string service;
        stages::piece_request request; ///< lists only the pieces without a result
        std::string home; ///< its address; empty: this instance
    };

    struct link_entry {
        std::unique_ptr<home_link> link;
        common::instant pendingSince; ///< time of the first request sent while no piece was pending
    };

    using pending_map = std::multimap<std::uint64_t, pending_pieces>;

    pending_map::iterator findPending(std::uint64_t job, std::size_t stage, std::size_t piece);
    void dispatch(pending_pieces &pending, common::instant now);
    home_link *linkTo(const std::string &address, common::instant now);
    void onHomeMessage(const std::string &address, stages::home_message message);
    void onHomeClosed(const std::string &address);
    /// Disconnects from a home, avoids it for a while, and submits its pending pieces elsewhere.
    void failOver(const std::string &address, std::string_view reason, common::instant now);
    void onOwnerMessage(std::uint64_t owner, stages::home_message message);
    void onOwnerClosed(std::uint64_t owner);
    void onResults(std::uint64_t owner, stages::results_message message);
    void processResults(const stages::results_message &message);
    void sendStatus(common::instant now);
    /// Sends an owner the current delays ahead of late results, so that the retry time it gives to a caller is up to
    /// date.
    void sendStatusTo(std::uint64_t owner);
    /// Stores the delays of the services that this instance is the home of.
    void updateLocalDelays(const stages::status_message &status);
    const catalog::endpoint_record *findProducer(std::string_view handle) const;
    /// Number of pending entries at the home.
    std::size_t pendingCount(const std::string &address) const;

    piece_service_options m_options;
    net::receive_budget &m_budget;
    catalog::endpoint_directory &m_directory;
    result_handler m_onResult;
    home_server m_server;
    std::vector<stages::home_candidate> m_members;
    std::string m_self;
    stages::unavailable_homes m_avoided;
    pending_map m_pending; ///< by job
    std::deque<pending_map::node_type> m_resubmitted; ///< being submitted again; a result of one can cancel others
    std::map<std::string, link_entry, std::less<>> m_links; ///< to homes, by address
    std::map<std::uint64_t, std::unique_ptr<home_link>> m_owners; ///< connected instances that use this one as a home
    std::vector<std::unique_ptr<home_link>> m_ended; ///< destroyed at the next tick, not inside their own callbacks
    std::map<std::string, std::string, std::less<>> m_serviceByHandle; ///< service that made a result
    std::map<std::string, std::vector<std::int64_t>, std::less<>> m_delays; ///< by service: microseconds, by priority
    owner_handler m_onOtherMessage;
    std::function<void(std::uint64_t owner)> m_onOwnerGone;
    std::uint64_t m_lastOwner = 0;
    common::instant m_statusAt;
};

} // namespace masticlever::frontend
