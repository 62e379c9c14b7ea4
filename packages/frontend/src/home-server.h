#pragma once

#include "endpoint-access.h"
#include "piece-call.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/protocol/site-protocol.h>
#include <masticlever/stages/batch-queue.h>
#include <masticlever/stages/home-messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The home of stage services on this instance: their queues, and the calls to their endpoints.

namespace masticlever::frontend
{

class home_server
{
public:
    /// Results for \c owner; 0 is this instance itself.
    using result_handler = std::function<void(std::uint64_t owner, stages::results_message message)>;

    home_server(const endpoint_access &access, catalog::endpoint_directory &directory, result_handler onResults);
    ~home_server();

    void setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration);
    void onDirectoryChanged();

    void onWish(const std::string &service, stages::piece_wish wish, common::instant now);
    void onCancel(std::uint64_t owner, std::uint64_t job);
    void onOwnerGone(std::uint64_t owner);
    void onRelease(const std::vector<std::string> &handles);
    void onTick(common::instant now);
    /// This instance is leaving: what waits here is to be made by the next home.
    void handBack();

    /// Delays of all services that have a queue here.
    stages::status_message status(common::instant now) const;

private:
    struct running_call {
        std::unique_ptr<piece_call> call;
        common::instant giveUpAt;
        common::instant sentAt;
        std::size_t pieces = 0;
        std::size_t farPieces = 0;
    };

    struct service_queue {
        stages::batch_queue queue;
        std::map<std::uint64_t, running_call> calls;
    };

    service_queue *findQueue(const std::string &service);
    void refresh(const std::string &service, service_queue &target);
    void sendRelease(const std::string &address, std::vector<std::string> handles);
    void sendHeldReleases(common::instant now);
    /// Until when no endpoint at that address wants anything; in the past when one does.
    common::instant quietUntil(const std::string &address) const;
    /// Makers have answered that they have released the results.
    void onRoomFreed(const std::vector<std::string> &handles);
    void startCalls(const std::string &service, service_queue &target, common::instant now);
    void pump(const std::string &service, service_queue &target, common::instant now);
    void start(const std::string &service, service_queue &target, stages::batch_call call);
    void onDone(const std::string &service, std::uint64_t call, const std::string &endpointId,
                piece_call::outcome outcome, std::string_view body);
    void deliver(const std::vector<stages::finished_piece> &pieces);

    endpoint_access m_access;
    catalog::endpoint_directory &m_directory;
    result_handler m_onResults;
    std::shared_ptr<const catalog::service_configuration> m_configuration;
    std::map<std::string, service_queue, std::less<>> m_queues;
    std::map<std::uint64_t, std::unique_ptr<piece_call>> m_releases;
    std::map<std::string, std::vector<std::string>> m_heldReleases; ///< for makers that want nothing now, by address
    std::vector<std::unique_ptr<piece_call>> m_ended; ///< deleted outside of their own calls
    std::uint64_t m_lastRelease = 0;
};

/// Address of the maker in a result's handle.
std::string_view makerOf(std::string_view handle);

} // namespace masticlever::frontend
