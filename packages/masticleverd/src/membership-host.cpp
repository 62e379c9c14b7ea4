#include "membership-host.h"

#include "clock.h"

#include <masticlever/telemetry/events.h>

#include <QPointer>

#include <algorithm>
#include <utility>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::event;
using telemetry::logEvent;

constexpr std::size_t fleetPollsPerInterval = 3; ///< polls by all instances together in one list interval

} // namespace

membership_host::membership_host(platform::instance_list &list, const settings::daemon_settings &settings,
                                 membership::instance_notice self, std::function<void()> onChanged)
    : m_list(list), m_settings(settings), m_table({.suspectAfter = settings.suspectAfter}, std::move(self)),
      m_onChanged(std::move(onChanged))
{
    connect(&m_timer, &QTimer::timeout, this, &membership_host::poll);
}

void membership_host::start(const std::string &address, const std::string &peerAddress)
{
    membership::instance_notice self = m_table.self();
    self.peerAddress = peerAddress;
    m_table.setSelf(self);
    m_self = {.name = self.name,
              .kind = platform::instance_kind::entry,
              .address = address,
              .peerAddress = peerAddress,
              .dataCentre = self.dataCentre,
              .incarnation = self.incarnation};
    m_startedAt = currentMoment().now;
    announce();
    poll();
    m_timer.start(m_settings.listInterval);
}

void membership_host::announce()
{
    m_list.announce(m_self);
}

void membership_host::beginLeaving()
{
    membership::instance_notice self = m_table.self();
    self.leaving = true;
    m_table.setSelf(self);
    m_self.state = platform::instance_state::leaving;
    announce();
}

void membership_host::onEndpointLeaving(const membership::endpoint_notice &notice)
{
    if (!m_table.isEndpointLeaving(notice.address)) {
        logEvent(event::endpoint_leaving, {{"address", std::string_view(notice.address)}});
    }
    m_table.onEndpointLeaving(notice, currentMoment().now);
    m_onChanged();
}

void membership_host::poll()
{
    const QPointer<membership_host> self(this);
    m_list.fetch([self](const common::result<std::vector<platform::listed_instance>> &outcome) {
        if (!self) {
            return;
        }
        if (outcome.has_value() != std::exchange(self->m_listReachable, outcome.has_value())) {
            logEvent(outcome ? event::instance_list_reachable : event::instance_list_unreachable);
        }
        if (!outcome) {
            self->m_onChanged();
            return;
        }
        const auto &list = outcome.value();
        for (const platform::listed_instance &listed : list) {
            self->m_addresses[listed.incarnation] = listed.address;
        }
        const bool isListed = std::any_of(list.begin(), list.end(), [&](const platform::listed_instance &listed) {
            return listed.incarnation == self->m_self.incarnation;
        });
        if (!isListed) {
            self->announce();
        }
        self->m_hasList = true;
        self->reportLeavingEndpoints(list);
        self->m_table.onList(list, currentMoment().now);
        self->adjustPollInterval();
        self->logChanges();
        self->m_onChanged();
    });
}

void membership_host::setLeavingHandler(std::function<void(const membership::endpoint_notice &)> handler)
{
    m_onEndpointLeaving = std::move(handler);
}

void membership_host::reportLeavingEndpoints(const std::vector<platform::listed_instance> &list)
{
    for (const platform::listed_instance &listed : list) {
        const bool isLeaving
            = listed.kind == platform::instance_kind::endpoint && listed.state == platform::instance_state::leaving;
        if (isLeaving && !m_table.isEndpointLeaving(listed.address) && m_onEndpointLeaving) {
            m_onEndpointLeaving({listed.address, listed.incarnation});
        }
    }
}

void membership_host::adjustPollInterval()
{
    const std::size_t rounds = (m_table.size() + fleetPollsPerInterval) / fleetPollsPerInterval;
    m_timer.setInterval(m_settings.listInterval * static_cast<int>(std::max<std::size_t>(1, rounds)));
}

void membership_host::logChanges()
{
    using membership::instance_change;
    for (const membership::observed_change &seen : m_observer.update(m_table.liveInstances(currentMoment().now))) {
        auto number = event::instance_live;
        if (seen.change != instance_change::live) {
            number = seen.change == instance_change::lost ? event::instance_lost : event::instance_leaving;
        }
        logEvent(number,
                 {{"instance", std::string_view(seen.name)}, {"incarnation", std::string_view(seen.incarnation)}});
    }
}

std::vector<std::string> membership_host::activeIncarnations() const
{
    std::vector<std::string> active;
    for (const membership::instance_notice &instance : m_table.liveInstances(currentMoment().now)) {
        if (!instance.leaving) {
            active.push_back(instance.incarnation);
        }
    }
    return active;
}

std::vector<std::string> membership_host::liveIncarnations() const
{
    std::vector<std::string> live;
    for (const membership::instance_notice &instance : m_table.liveInstances(currentMoment().now)) {
        live.push_back(instance.incarnation);
    }
    return live;
}

std::size_t membership_host::rank() const
{
    const std::vector<std::string> live = activeIncarnations();
    const auto own = std::find(live.begin(), live.end(), m_self.incarnation);
    return static_cast<std::size_t>(own - live.begin());
}

bool membership_host::canDetectLostInstances() const
{
    return m_hasList && currentMoment().now > m_startedAt + m_settings.suspectAfter;
}

std::string membership_host::addressOf(const std::string &incarnation) const
{
    const auto found = m_addresses.find(incarnation);
    return found == m_addresses.end() ? std::string() : found->second;
}

} // namespace masticlever::masticleverd
