#include "piece-service.h"

#include "frontend-context.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr std::uint64_t localOwner = 0; ///< owner of the requests of this instance

bool hasLateResult(const stages::results_message &message)
{
    return std::ranges::any_of(message.results, [](const stages::result_entry &entry) {
        return entry.handle.empty() && entry.failure == static_cast<std::uint8_t>(protocol::piece_failure::late);
    });
}

std::vector<std::string> handlesIn(const stages::results_message &message)
{
    std::vector<std::string> handles;
    for (const stages::result_entry &entry : message.results) {
        if (!entry.handle.empty()) {
            handles.push_back(entry.handle);
        }
    }
    return handles;
}

} // namespace

piece_service::piece_service(piece_service_options options, const endpoint_access &access,
                             catalog::endpoint_directory &directory, result_handler onResult)
    : m_options(options), m_budget(access.budget), m_directory(directory), m_onResult(std::move(onResult)),
      m_server(access, directory,
               [this](std::uint64_t owner, stages::results_message message) { onResults(owner, std::move(message)); })
{ }

piece_service::~piece_service() = default;

void piece_service::setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration)
{
    m_server.setConfiguration(std::move(configuration));
}

void piece_service::setMembers(std::vector<stages::home_candidate> members, const std::string &self)
{
    m_members = std::move(members);
    m_self = self;
}

void piece_service::submit(const std::string &service, stages::piece_request request, instant now)
{
    const std::uint64_t job = request.job;
    const auto added = m_pending.emplace(job, pending_pieces{service, std::move(request), {}});
    dispatch(added->second, now);
}

void piece_service::dispatch(pending_pieces &pending, instant now)
{
    const auto home = m_avoided.choose(pending.service, m_members, m_self, now);
    pending.home.clear();
    if (home && home->incarnation != m_self) {
        if (home_link *link = linkTo(home->address, now)) {
            link_entry &entry = m_links.find(home->address)->second;
            if (pendingCount(home->address) == 0) {
                entry.pendingSince = now;
            }
            pending.home = home->address;
            stages::piece_request_message message{pending.service, pending.request,
                                                  (pending.request.objective - now).count(),
                                                  (pending.request.deadline - now).count()};
            link->send(std::move(message));
            return;
        }
    }
    stages::piece_request request = pending.request;
    request.owner = localOwner;
    m_server.onPieceRequest(std::string(pending.service), std::move(request), now);
}

std::size_t piece_service::pendingCount(const std::string &address) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_pending, [&](const auto &item) { return item.second.home == address; }));
}

home_link *piece_service::linkTo(const std::string &address, instant now)
{
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        return found->second.link.get();
    }
    const auto target = net::parseAddress(address);
    if (!target) {
        return nullptr;
    }
    auto link = std::make_unique<home_link>(
        target.value(), m_budget,
        home_link::event_handlers{
            [this, address](home_link &, stages::home_message message) { onHomeMessage(address, std::move(message)); },
            [this, address](home_link &) { onHomeClosed(address); }},
        now);
    return m_links.emplace(address, link_entry{std::move(link), now}).first->second.link.get();
}

void piece_service::onHomeMessage(const std::string & /*address*/, stages::home_message message)
{
    if (const auto *results = std::get_if<stages::results_message>(&message)) {
        processResults(*results);
    } else if (const auto *status = std::get_if<stages::status_message>(&message)) {
        for (const stages::service_delay &delay : status->services) {
            m_delays[delay.service] = delay.delays;
        }
    }
}

void piece_service::onHomeClosed(const std::string &address)
{
    failOver(address, "closed", monotonicNow());
}

/// A piece that the home has already started may be made twice.
void piece_service::failOver(const std::string &address, std::string_view reason, instant now)
{
    const auto found = m_links.find(address);
    if (found == m_links.end()) {
        return;
    }
    found->second.link->close();
    m_ended.push_back(std::move(found->second.link));
    m_links.erase(found);
    m_avoided.avoid(address, now + m_options.homeBackoff);
    logEvent(event::home_lost,
             {{"home", std::string_view(address)},
              {"reason", reason},
              {"awaited", static_cast<std::uint64_t>(pendingCount(address))}});
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const auto current = it++;
        if (current->second.home == address) {
            m_resubmitted.push_back(m_pending.extract(current));
        }
    }
    while (!m_resubmitted.empty()) {
        pending_map::node_type pending = std::move(m_resubmitted.front());
        m_resubmitted.pop_front();
        submit(pending.mapped().service, std::move(pending.mapped().request), now);
    }
}

void piece_service::onConnection(int descriptor)
{
    const std::uint64_t owner = ++m_lastOwner;
    m_owners.emplace(
        owner,
        std::make_unique<home_link>(descriptor, m_budget,
                                    home_link::event_handlers{[this, owner](home_link &, stages::home_message message) {
                                                                  onOwnerMessage(owner, std::move(message));
                                                              },
                                                              [this, owner](home_link &) { onOwnerClosed(owner); }},
                                    monotonicNow()));
}

void piece_service::setOwnerHandlers(owner_handler onMessage, std::function<void(std::uint64_t owner)> onGone)
{
    m_onOtherMessage = std::move(onMessage);
    m_onOwnerGone = std::move(onGone);
}

void piece_service::sendToOwners(std::span<const std::uint64_t> owners, const stages::home_message &message)
{
    const std::string encoded = stages::encodeHomeMessage(message);
    for (const std::uint64_t owner : owners) {
        const auto found = m_owners.find(owner);
        if (found != m_owners.end()) {
            found->second->sendEncoded(encoded);
        }
    }
}

void piece_service::onOwnerMessage(std::uint64_t owner, stages::home_message message)
{
    const instant now = monotonicNow();
    if (auto *request = std::get_if<stages::piece_request_message>(&message)) {
        request->request.owner = owner;
        request->request.objective = now + duration(request->objectiveLeft);
        request->request.deadline = now + duration(request->deadlineLeft);
        m_server.onPieceRequest(request->service, std::move(request->request), now);
    } else if (const auto *cancelled = std::get_if<stages::cancel_message>(&message)) {
        m_server.onCancel(owner, cancelled->job);
    } else if (const auto *released = std::get_if<stages::release_message>(&message)) {
        m_server.onRelease(released->handles);
    } else if (m_onOtherMessage) {
        m_onOtherMessage(owner, std::move(message));
    }
}

void piece_service::onOwnerClosed(std::uint64_t owner)
{
    m_server.onOwnerGone(owner);
    if (m_onOwnerGone) {
        m_onOwnerGone(owner);
    }
    if (auto node = m_owners.extract(owner)) {
        m_ended.push_back(std::move(node.mapped()));
    }
}

void piece_service::onResults(std::uint64_t owner, stages::results_message message)
{
    if (hasLateResult(message)) {
        sendStatusTo(owner);
    }
    if (owner == localOwner) {
        processResults(message);
        return;
    }
    const auto found = m_owners.find(owner);
    if (found != m_owners.end()) {
        found->second->send(std::move(message));
        return;
    }
    m_server.onRelease(handlesIn(message)); // the owner has disconnected
}

/// Each piece that failed was submitted again by itself, so the pieces of one stage may be in several entries.
piece_service::pending_map::iterator piece_service::findPending(std::uint64_t job, std::size_t stage, std::size_t piece)
{
    const auto [begin, end] = m_pending.equal_range(job);
    const auto found = std::find_if(begin, end, [&](const auto &item) {
        const stages::piece_request &request = item.second.request;
        return request.stage == stage && std::ranges::find(request.pieces, piece) != request.pieces.end();
    });
    return found == end ? m_pending.end() : found;
}

void piece_service::processResults(const stages::results_message &message)
{
    std::vector<stages::piece_outcome> accepted;
    std::vector<std::string> unused;
    for (const stages::result_entry &entry : message.results) {
        const auto found = findPending(message.job, message.stage, entry.piece);
        if (found == m_pending.end()) {
            if (!entry.handle.empty()) {
                unused.push_back(entry.handle);
            }
            continue;
        }
        if (!entry.handle.empty()) {
            m_serviceByHandle[entry.handle] = found->second.service;
        }
        std::erase(found->second.request.pieces, entry.piece);
        if (found->second.request.pieces.empty()) {
            m_pending.erase(found);
        }
        accepted.push_back({{static_cast<std::size_t>(message.stage), static_cast<std::size_t>(entry.piece)},
                            {entry.handle, static_cast<protocol::piece_failure>(entry.failure)}});
    }
    release(unused);
    if (!accepted.empty()) {
        m_onResult(message.job, accepted);
    }
}

void piece_service::cancel(std::uint64_t job)
{
    const auto [begin, end] = m_pending.equal_range(job);
    std::vector<std::string> homes;
    for (auto it = begin; it != end; ++it) {
        homes.push_back(it->second.home);
    }
    m_pending.erase(begin, end);
    std::erase_if(m_resubmitted, [&](const pending_map::node_type &pending) { return pending.key() == job; });
    std::ranges::sort(homes);
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    for (const std::string &home : homes) {
        if (home.empty()) {
            m_server.onCancel(localOwner, job);
        } else if (const auto link = m_links.find(home); link != m_links.end()) {
            link->second.link->send(stages::cancel_message{job});
        }
    }
}

void piece_service::release(const std::vector<std::string> &handles)
{
    std::map<std::string, std::vector<std::string>> byService;
    for (const std::string &handle : handles) {
        const auto found = m_serviceByHandle.find(handle);
        byService[found == m_serviceByHandle.end() ? std::string() : found->second].push_back(handle);
        if (found != m_serviceByHandle.end()) {
            m_serviceByHandle.erase(found);
        }
    }
    for (auto &[service, serviceHandles] : byService) {
        const stages::home_candidate *home = stages::chooseHome(service, m_members);
        const auto link = home == nullptr ? m_links.end() : m_links.find(home->address);
        if (home != nullptr && home->incarnation == m_self) {
            m_server.onRelease(serviceHandles);
        } else if (!service.empty() && link != m_links.end()) {
            link->second.link->send(stages::release_message{service, std::move(serviceHandles)});
        } else {
            m_server.releaseWithoutHome(std::move(serviceHandles));
        }
    }
}

const catalog::endpoint_record *piece_service::findProducer(std::string_view handle) const
{
    const auto service = m_serviceByHandle.find(handle);
    if (service == m_serviceByHandle.end()) {
        return nullptr;
    }
    const auto endpoints = m_directory.usable(service->second);
    const auto found = std::ranges::find(endpoints, producerAddress(handle), &catalog::endpoint_record::address);
    return found == endpoints.end() ? nullptr : *found;
}

bool piece_service::isProducerGone(std::string_view handle) const
{
    return findProducer(handle) == nullptr;
}

std::string piece_service::dataCentreOf(std::string_view handle) const
{
    const catalog::endpoint_record *producer = findProducer(handle);
    return producer == nullptr ? std::string() : producer->dataCentre;
}

std::optional<duration> piece_service::expectedDelay(const std::string &service, int priority) const
{
    const auto found = m_delays.find(service);
    if (found == m_delays.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto index
        = std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0, priority)), 0, found->second.size() - 1);
    return duration(found->second[index]);
}

void piece_service::updateLocalDelays(const stages::status_message &status)
{
    for (const stages::service_delay &delay : status.services) {
        const stages::home_candidate *home = stages::chooseHome(delay.service, m_members);
        if (home != nullptr && home->incarnation == m_self) {
            m_delays[delay.service] = delay.delays;
        }
    }
}

void piece_service::sendStatusTo(std::uint64_t owner)
{
    stages::status_message status = m_server.status(monotonicNow());
    if (owner == localOwner) {
        updateLocalDelays(status);
    } else if (const auto found = m_owners.find(owner); found != m_owners.end()) {
        found->second->send(std::move(status));
    }
}

void piece_service::sendStatus(instant now)
{
    const stages::status_message status = m_server.status(now);
    updateLocalDelays(status);
    const std::string encoded = stages::encodeHomeMessage(status);
    for (const auto &[owner, link] : m_owners) {
        link->sendEncoded(encoded);
    }
}

void piece_service::onTick(instant now)
{
    m_ended.clear();
    m_server.onTick(now);
    if (now - m_statusAt >= m_options.statusInterval) {
        m_statusAt = now;
        sendStatus(now);
    }
    std::vector<std::string> timedOut;
    for (const auto &[address, entry] : m_links) {
        const instant lastReceived = std::max(entry.link->lastReceivedAt(), entry.pendingSince);
        if (now - lastReceived > m_options.homeTimeout && pendingCount(address) > 0) {
            timedOut.push_back(address);
        }
    }
    for (const std::string &address : timedOut) {
        failOver(address, "silent", now);
    }
}

void piece_service::onPause()
{
    std::vector<std::string> homes;
    for (const auto &[address, entry] : m_links) {
        homes.push_back(address);
    }
    for (const std::string &address : homes) {
        failOver(address, "pause", monotonicNow());
    }
    m_avoided.clear();
}

} // namespace masticlever::frontend
