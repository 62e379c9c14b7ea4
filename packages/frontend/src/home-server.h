#pragma once

#include "endpoint-access.h"
#include "piece-call.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/protocol/wire-protocol.h>
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
/// Server side of a home: the queues of the stage services that this instance is the home of, and the calls to their
/// endpoints.

namespace masticlever::frontend
{

class home_server
{
public:
    /// Called with results for \c owner; 0 is this instance.
    using result_handler = std::function<void(std::uint64_t owner, stages::results_message message)>;

    home_server(const endpoint_access &access, catalog::endpoint_directory &directory, result_handler onResults);
    ~home_server();

    void setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration);
    void onDirectoryChanged();

    void onPieceRequest(const std::string &service, stages::piece_request request, common::instant now);
    void onCancel(std::uint64_t owner, std::uint64_t job);
    void onOwnerGone(std::uint64_t owner);
    void onRelease(const std::vector<std::string> &handles);
    /// Releases results of a service whose home is another instance without a connection. Those of endpoints with a
    /// rate limit are left to expire, because only the home has a share of it.
    void releaseWithoutHome(std::vector<std::string> handles);
    void onTick(common::instant now);
    /// Reports all waiting pieces as failed, so that their owners resubmit them to the next home. Called when this
    /// instance leaves.
    void failWaitingPieces();

    /// Expected delays, by priority, of all services that have a queue here.
    stages::status_message status(common::instant now) const;

private:
    struct running_call {
        std::unique_ptr<piece_call> call;
        common::instant callTimeoutAt;
        common::instant sentAt;
        std::size_t pieces = 0;
        std::size_t remotePieces = 0;
    };

    struct service_queue {
        stages::batch_queue queue;
        std::map<std::uint64_t, running_call> calls;
    };

    /// Returns nullptr when the service is not known or takes no batches.
    service_queue *findOrCreateQueue(const std::string &service);
    void updateQueue(const std::string &service, service_queue &target);
    /// Reports all pieces of the request as failed.
    void failPieces(const stages::piece_request &request, protocol::piece_failure reason);
    std::string nextCallId() { return m_access.callIdPrefix + std::to_string(++m_lastCall); }
    void sendRelease(const std::string &address, std::vector<std::string> handles);
    void sendDeferredReleases(common::instant now);
    /// Endpoints have confirmed the release of results, so they may have room for new ones.
    void onResultsReleased(const std::vector<std::string> &handles);
    void updateRateLimits(const std::string &service, service_queue &target, common::instant now);
    void updatePaces(const std::string &service, service_queue &target, common::instant now);
    std::size_t unsentCallBytes() const;
    void startCalls(const std::string &service, service_queue &target, common::instant now);
    /// Reports pieces that cannot be made in time and starts the calls that are possible now.
    void processQueue(const std::string &service, service_queue &target, common::instant now);
    void start(const std::string &service, service_queue &target, stages::batch_call call);
    void onCallDone(const std::string &service, std::uint64_t call, const std::string &endpointId,
                    piece_call::outcome outcome, std::string_view body);
    void deliver(const std::vector<stages::finished_piece> &pieces);

    endpoint_access m_access;
    catalog::endpoint_directory &m_directory;
    result_handler m_onResults;
    std::shared_ptr<const catalog::service_configuration> m_configuration;
    std::map<std::string, service_queue, std::less<>> m_queues;
    std::map<std::string, std::unique_ptr<piece_call>> m_releaseCalls; ///< by id
    /// By address, for endpoints that accept no call now.
    std::map<std::string, std::vector<std::string>> m_deferredReleases;
    std::vector<std::unique_ptr<piece_call>> m_ended; ///< destroyed at the next tick, not inside their own callbacks
    std::uint64_t m_lastCall = 0; ///< number of the last call or release, for its id
};

/// Address of the endpoint that made a result, as its handle names it.
std::string_view producerAddress(std::string_view handle);

} // namespace masticlever::frontend
