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

constexpr std::uint64_t ownWork = 0; ///< owner of this instance's own wishes

bool hasLate(const stages::results_message &message)
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

void piece_service::submit(const std::string &service, stages::piece_wish wish, instant now)
{
    const std::uint64_t job = wish.job;
    const auto added = m_pending.emplace(job, pending_wish{service, std::move(wish), {}});
    dispatch(added->second, now);
}

void piece_service::dispatch(pending_wish &pending, instant now)
{
    const auto home = m_avoided.choose(pending.service, m_members, m_self, now);
    pending.home.clear();
    if (home && home->incarnation != m_self) {
        if (home_link *link = linkTo(home->address, now)) {
            link_entry &entry = m_links.find(home->address)->second;
            if (awaitedFrom(home->address) == 0) {
                entry.waitsSince = now;
            }
            pending.home = home->address;
            stages::wish_message message{pending.service, pending.wish, (pending.wish.objective - now).count(),
                                         (pending.wish.deadline - now).count()};
            link->send(std::move(message));
            return;
        }
    }
    stages::piece_wish wish = pending.wish;
    wish.owner = ownWork;
    m_server.onWish(std::string(pending.service), std::move(wish), now);
}

std::size_t piece_service::awaitedFrom(const std::string &address) const
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
        takeResults(*results);
    } else if (const auto *status = std::get_if<stages::status_message>(&message)) {
        for (const stages::service_delay &delay : status->services) {
            m_delays[delay.service] = delay.delays;
        }
    }
}

void piece_service::onHomeClosed(const std::string &address)
{
    loseHome(address, "closed", presentInstant());
}

/// What was awaited from the home is asked for again elsewhere; a piece may be made twice.
void piece_service::loseHome(const std::string &address, std::string_view reason, instant now)
{
    const auto found = m_links.find(address);
    if (found == m_links.end()) {
        return;
    }
    found->second.link->close();
    m_ended.push_back(std::move(found->second.link));
    m_links.erase(found);
    m_avoided.avoid(address, now + m_options.avoidFor);
    logEvent(event::home_lost,
             {{"home", std::string_view(address)},
              {"reason", reason},
              {"awaited", static_cast<std::uint64_t>(awaitedFrom(address))}});
    std::vector<pending_wish> again;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.home == address) {
            again.push_back(std::move(it->second));
            it = m_pending.erase(it);
        } else {
            ++it;
        }
    }
    for (pending_wish &pending : again) {
        submit(pending.service, std::move(pending.wish), now);
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
                                    presentInstant()));
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
    const instant now = presentInstant();
    if (auto *wish = std::get_if<stages::wish_message>(&message)) {
        wish->wish.owner = owner;
        wish->wish.objective = now + duration(wish->objectiveLeft);
        wish->wish.deadline = now + duration(wish->deadlineLeft);
        m_server.onWish(wish->service, std::move(wish->wish), now);
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
    if (hasLate(message)) {
        sendStatusTo(owner);
    }
    if (owner == ownWork) {
        takeResults(message);
        return;
    }
    const auto found = m_owners.find(owner);
    if (found != m_owners.end()) {
        found->second->send(std::move(message));
        return;
    }
    m_server.onRelease(handlesIn(message)); // nobody is left to use them
}

void piece_service::takeResults(const stages::results_message &message)
{
    const auto [begin, end] = m_pending.equal_range(message.job);
    const auto found
        = std::find_if(begin, end, [&](const auto &item) { return item.second.wish.stage == message.stage; });
    if (found == end) {
        release(handlesIn(message));
        return;
    }
    const std::string service = found->second.service;
    std::vector<stages::result_entry> taken;
    std::vector<std::string> unused;
    for (const stages::result_entry &entry : message.results) {
        const bool isAwaited = std::erase(found->second.wish.pieces, entry.piece) > 0;
        if (!entry.handle.empty()) {
            m_services[entry.handle] = service;
        }
        if (isAwaited) {
            taken.push_back(entry);
        } else if (!entry.handle.empty()) {
            unused.push_back(entry.handle);
        }
    }
    if (found->second.wish.pieces.empty()) {
        m_pending.erase(found);
    }
    release(unused);
    for (const stages::result_entry &entry : taken) {
        m_onResult(message.job, {static_cast<std::size_t>(message.stage), static_cast<std::size_t>(entry.piece)},
                   {entry.handle, static_cast<protocol::piece_failure>(entry.failure)});
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
    std::ranges::sort(homes);
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    for (const std::string &home : homes) {
        if (home.empty()) {
            m_server.onCancel(ownWork, job);
        } else if (const auto link = m_links.find(home); link != m_links.end()) {
            link->second.link->send(stages::cancel_message{job});
        }
    }
}

void piece_service::release(const std::vector<std::string> &handles)
{
    std::map<std::string, std::vector<std::string>> byService;
    for (const std::string &handle : handles) {
        const auto found = m_services.find(handle);
        byService[found == m_services.end() ? std::string() : found->second].push_back(handle);
        if (found != m_services.end()) {
            m_services.erase(found);
        }
    }
    for (auto &[service, list] : byService) {
        const stages::home_candidate *home = stages::chooseHome(service, m_members);
        const auto link = home == nullptr ? m_links.end() : m_links.find(home->address);
        if (!service.empty() && home != nullptr && home->incarnation != m_self && link != m_links.end()) {
            link->second.link->send(stages::release_message{service, std::move(list)});
        } else {
            m_server.onRelease(list);
        }
    }
}

const catalog::endpoint_record *piece_service::findMaker(std::string_view handle) const
{
    const auto service = m_services.find(handle);
    if (service == m_services.end()) {
        return nullptr;
    }
    const auto endpoints = m_directory.usable(service->second);
    const auto found = std::ranges::find(endpoints, makerOf(handle), &catalog::endpoint_record::address);
    return found == endpoints.end() ? nullptr : *found;
}

bool piece_service::isMakerGone(std::string_view handle) const
{
    return findMaker(handle) == nullptr;
}

std::string piece_service::dataCentreOf(std::string_view handle) const
{
    const catalog::endpoint_record *maker = findMaker(handle);
    return maker == nullptr ? std::string() : maker->dataCentre;
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

/// Delays of services whose home this is.
void piece_service::noteOwnDelays(const stages::status_message &status)
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
    stages::status_message status = m_server.status(presentInstant());
    if (owner == ownWork) {
        noteOwnDelays(status);
    } else if (const auto found = m_owners.find(owner); found != m_owners.end()) {
        found->second->send(std::move(status));
    }
}

void piece_service::sendStatus(instant now)
{
    const stages::status_message status = m_server.status(now);
    noteOwnDelays(status);
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
    std::vector<std::string> silent;
    for (const auto &[address, entry] : m_links) {
        const instant heard = std::max(entry.link->heardAt(), entry.waitsSince);
        if (now - heard > m_options.silenceLimit && awaitedFrom(address) > 0) {
            silent.push_back(address);
        }
    }
    for (const std::string &address : silent) {
        loseHome(address, "silent", now);
    }
}

void piece_service::onPause()
{
    std::vector<std::string> homes;
    for (const auto &[address, entry] : m_links) {
        homes.push_back(address);
    }
    for (const std::string &address : homes) {
        loseHome(address, "pause", presentInstant());
    }
    m_avoided.clear();
}

} // namespace masticlever::frontend
