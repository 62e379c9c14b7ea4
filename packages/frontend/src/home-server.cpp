#include "home-server.h"

#include "frontend-context.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticlever::frontend
{

using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int reportedPriorities = 4; ///< in a status message; less urgent requests use the delay of the last one

} // namespace

std::string_view producerAddress(std::string_view handle)
{
    return handle.substr(0, handle.find('/'));
}

home_server::home_server(const endpoint_access &access, catalog::endpoint_directory &directory,
                         result_handler onResults)
    : m_access(access), m_directory(directory), m_onResults(std::move(onResults))
{ }

home_server::~home_server() = default;

void home_server::setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration)
{
    m_configuration = std::move(configuration);
    onDirectoryChanged();
}

void home_server::updateQueue(const std::string &service, service_queue &target)
{
    const catalog::service *definition = m_configuration ? m_configuration->findService(service) : nullptr;
    if (definition != nullptr && definition->batches) {
        target.queue.setLimits(*definition->batches);
    }
    const auto endpoints = m_directory.usable(service);
    target.queue.setEndpoints(endpoints);
    for (const catalog::endpoint_record *endpoint : endpoints) {
        target.queue.onPauseRequested(endpoint->id, m_directory.pausedUntil(endpoint->id));
    }
}

void home_server::onDirectoryChanged()
{
    for (auto &[service, target] : m_queues) {
        updateQueue(service, target);
    }
}

home_server::service_queue *home_server::findOrCreateQueue(const std::string &service)
{
    const auto found = m_queues.find(service);
    if (found != m_queues.end()) {
        return &found->second;
    }
    const catalog::service *definition = m_configuration ? m_configuration->findService(service) : nullptr;
    if (definition == nullptr || !definition->batches) {
        return nullptr;
    }
    service_queue added{stages::batch_queue({}, *definition->batches), {}};
    service_queue &stored = m_queues.emplace(service, std::move(added)).first->second;
    updateQueue(service, stored);
    return &stored;
}

void home_server::onPieceRequest(const std::string &service, stages::piece_request request, instant now)
{
    service_queue *target = findOrCreateQueue(service);
    if (target == nullptr) {
        // This instance does not know the service yet. The owner resubmits failed pieces.
        failPieces(request, protocol::piece_failure::failed);
        return;
    }
    // Instances of earlier versions can send blank handles, and an endpoint might compute a result without these
    // inputs.
    if (std::ranges::any_of(request.inputs.view(), &std::string::empty)) {
        logEvent(event::incomplete_order,
                 {{"request", std::string_view(request.requestId)},
                  {"service", std::string_view(service)},
                  {"stage", static_cast<std::uint64_t>(request.stage)},
                  {"pieces", static_cast<std::uint64_t>(request.pieces.size())}});
        failPieces(request, protocol::piece_failure::input_gone);
        return;
    }
    target->queue.onPieceRequest(std::move(request), now);
    processQueue(service, *target, now);
}

void home_server::failPieces(const stages::piece_request &request, protocol::piece_failure reason)
{
    stages::results_message failed{request.job, request.stage, {}};
    for (const std::size_t piece : request.pieces) {
        failed.results.push_back({piece, {}, static_cast<std::uint8_t>(reason)});
    }
    m_onResults(request.owner, std::move(failed));
}

void home_server::onCancel(std::uint64_t owner, std::uint64_t job)
{
    for (auto &[service, target] : m_queues) {
        target.queue.onCancel(owner, job);
    }
}

void home_server::onOwnerGone(std::uint64_t owner)
{
    for (auto &[service, target] : m_queues) {
        target.queue.onOwnerGone(owner);
    }
}

void home_server::onRelease(const std::vector<std::string> &handles)
{
    std::map<std::string, std::vector<std::string>> byProducer;
    for (const std::string &handle : handles) {
        byProducer[std::string(producerAddress(handle))].push_back(handle);
    }
    const instant now = monotonicNow();
    for (auto &[address, released] : byProducer) {
        const auto ids = m_directory.idsAt(address);
        const bool isUsed = std::ranges::any_of(ids, [&](const auto &id) { return !m_directory.isLeaving(id); });
        if (!isUsed) {
            continue; // gets no more calls, so the memory of its results is not needed
        }
        if (m_access.gate.timeUntilAddressOpen(address, now).count() > 0) {
            auto &deferred = m_deferredReleases[address];
            deferred.insert(deferred.end(), released.begin(), released.end());
        } else {
            sendRelease(address, std::move(released));
        }
    }
}

void home_server::releaseWithoutHome(std::vector<std::string> handles)
{
    std::erase_if(handles, [&](const std::string &handle) {
        const auto ids = m_directory.idsAt(producerAddress(handle));
        return std::ranges::any_of(ids, [&](const auto &id) { return m_access.gate.isLimited(id); });
    });
    onRelease(handles);
}

void home_server::sendRelease(const std::string &address, std::vector<std::string> handles)
{
    const std::string id = nextCallId();
    const std::string body = m_access.protocol.releaseBody(handles);
    auto call = std::make_unique<piece_call>(
        m_access, id, piece_call::answer_kind::confirmation,
        [this, id, released = std::move(handles)](piece_call::outcome outcome, std::string_view) {
            // If a release is lost, the endpoint keeps the result until it expires.
            if (outcome == piece_call::outcome::answered) {
                onResultsReleased(released);
            }
            m_ended.push_back(std::move(m_releaseCalls.extract(id).mapped()));
        });
    if (call->start(address, address, m_access.protocol.releaseCall(address, id), body)) {
        m_releaseCalls.emplace(id, std::move(call));
    }
}

void home_server::sendDeferredReleases(instant now)
{
    for (auto it = m_deferredReleases.begin(); it != m_deferredReleases.end();) {
        const auto current = it++;
        if (m_access.gate.timeUntilAddressOpen(current->first, now).count() <= 0) {
            auto due = m_deferredReleases.extract(current);
            onRelease(due.mapped());
        }
    }
}

void home_server::onResultsReleased(const std::vector<std::string> &handles)
{
    const instant now = monotonicNow();
    for (auto &[service, target] : m_queues) {
        if (target.queue.onReleased(handles) && target.queue.waitingPieces() > 0) {
            updateRateLimits(service, target, now);
            updatePaces(service, target, now);
            startCalls(service, target, now);
        }
    }
}

void home_server::updateRateLimits(const std::string &service, service_queue &target, instant now)
{
    if (!m_access.gate.hasLimits() && !target.queue.hasRateLimits()) {
        return;
    }
    constexpr auto role = forwarding::sender_role::only;
    std::vector<stages::call_rate_limit> limits;
    for (const catalog::endpoint_record *endpoint : m_directory.usable(service)) {
        if (const auto rate = m_access.gate.ownRate(endpoint->id, role, now)) {
            limits.push_back({endpoint->id, *rate, now + m_access.gate.timeUntilAdmitted(endpoint->id, role, now)});
        }
    }
    target.queue.setRateLimits(limits);
}

void home_server::updatePaces(const std::string &service, service_queue &target, instant now)
{
    if (!m_access.reports.hasPaces()) {
        return;
    }
    for (const catalog::endpoint_record *endpoint : m_directory.usable(service)) {
        target.queue.setPace(endpoint->id, m_access.reports.paceOf(endpoint->id, now));
    }
}

std::size_t home_server::unsentCallBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[service, target] : m_queues) {
        for (const auto &[number, running] : target.calls) {
            bytes += running.call->unsentBytes();
        }
    }
    return bytes;
}

void home_server::startCalls(const std::string &service, service_queue &target, instant now)
{
    if (m_access.pool.isFull()) {
        return; // tried again at the next tick
    }
    const std::size_t unsent = unsentCallBytes();
    const std::size_t left = m_access.unsentCallBytes - std::min(unsent, m_access.unsentCallBytes);
    for (stages::batch_call &call : target.queue.takeCalls(now, left)) {
        start(service, target, std::move(call));
    }
}

void home_server::processQueue(const std::string &service, service_queue &target, instant now)
{
    updateRateLimits(service, target, now);
    updatePaces(service, target, now);
    deliver(target.queue.takeInfeasible(now));
    startCalls(service, target, now);
}

void home_server::start(const std::string &service, service_queue &target, stages::batch_call call)
{
    const std::uint64_t number = call.number;
    const std::string id = nextCallId();
    auto newCall = std::make_unique<piece_call>(
        m_access, id, piece_call::answer_kind::results,
        [this, service, number, endpoint = call.endpointId](piece_call::outcome outcome, std::string_view body) {
            onCallDone(service, number, endpoint, outcome, body);
        });
    if (!newCall->start(call.endpointId, call.address, m_access.protocol.pieceCall(call.address, call.endpointId, id),
                        m_access.protocol.pieceCallBody(call.orders))) {
        if (m_access.pool.isFull()) {
            target.queue.onRejected(number, monotonicNow());
        } else {
            target.queue.onLost(number, monotonicNow());
        }
        return;
    }
    target.calls.emplace(
        number,
        running_call{std::move(newCall), call.callTimeoutAt, monotonicNow(), call.orders.size(), call.remotePieces});
}

void home_server::onCallDone(const std::string &service, std::uint64_t call, const std::string &endpointId,
                             piece_call::outcome outcome, std::string_view body)
{
    service_queue &target = m_queues.find(service)->second;
    running_call ended = std::move(target.calls.extract(call).mapped());
    const instant now = monotonicNow();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - ended.sentAt);
    m_ended.push_back(std::move(ended.call));
    if (outcome == piece_call::outcome::answered) {
        const auto results = m_access.protocol.readPieceAnswer(body);
        const bool isOwn = results && target.queue.isAnswerTo(call, results.value());
        if (results && !isOwn) {
            logEvent(event::foreign_answer, {{"request", ""}, {"endpoint", std::string_view(endpointId)}});
        }
        if (isOwn) {
            logEvent(event::piece_call_answered,
                     {{"service", std::string_view(service)},
                      {"endpoint", std::string_view(endpointId)},
                      {"pieces", static_cast<std::uint64_t>(ended.pieces)},
                      {"far", static_cast<std::uint64_t>(ended.remotePieces)},
                      {"call_ms", std::int64_t{milliseconds.count()}},
                      {"waiting", static_cast<std::uint64_t>(target.queue.waitingPieces())}});
            deliver(target.queue.onAnswer(call, results.value(), now));
            processQueue(service, target, now);
            return;
        }
        outcome = piece_call::outcome::lost;
    }
    logEvent(event::piece_call_failed,
             {{"service", std::string_view(service)},
              {"endpoint", std::string_view(endpointId)},
              {"outcome", outcome == piece_call::outcome::lost ? "lost" : "rejected"}});
    if (outcome == piece_call::outcome::misdirected) {
        m_access.reports.onMisdirected(endpointId, now);
    }
    if (outcome == piece_call::outcome::lost) {
        target.queue.onLost(call, now);
    } else {
        target.queue.onRejected(call, now);
        updateQueue(service, target); // the answer may have set the time of the next call
    }
    processQueue(service, target, now);
}

void home_server::deliver(const std::vector<stages::finished_piece> &pieces)
{
    std::map<std::tuple<std::uint64_t, std::uint64_t, std::size_t>, stages::results_message> messages;
    for (const stages::finished_piece &finished : pieces) {
        auto &message = messages[{finished.piece.owner, finished.piece.job, finished.piece.stage}];
        message.job = finished.piece.job;
        message.stage = finished.piece.stage;
        message.results.push_back(
            {finished.piece.piece, finished.result.handle, static_cast<std::uint8_t>(finished.result.failure)});
    }
    for (auto &[key, message] : messages) {
        m_onResults(std::get<0>(key), std::move(message));
    }
}

void home_server::onTick(instant now)
{
    m_ended.clear();
    for (auto &[service, target] : m_queues) {
        std::vector<piece_call *> expired;
        for (auto &[number, running] : target.calls) {
            if (now >= running.callTimeoutAt) {
                expired.push_back(running.call.get());
            }
        }
        for (piece_call *call : expired) {
            call->expire();
        }
        processQueue(service, target, now);
    }
    sendDeferredReleases(now); // after the calls, which an endpoint with a rate limit should get first
}

void home_server::failWaitingPieces()
{
    for (auto &[service, target] : m_queues) {
        deliver(target.queue.failWaitingPieces());
    }
}

stages::status_message home_server::status(instant now) const
{
    stages::status_message message;
    for (const auto &[service, target] : m_queues) {
        stages::service_delay delay{service, {}};
        for (int priority = 0; priority < reportedPriorities; ++priority) {
            delay.delays.push_back(target.queue.expectedDelay(priority, now).count());
        }
        message.services.push_back(std::move(delay));
    }
    return message;
}

} // namespace masticlever::frontend
