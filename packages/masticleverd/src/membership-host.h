#pragma once

#include <masticlever/membership/instance-observer.h>
#include <masticlever/membership/membership.h>
#include <masticlever/platform/instance-list.h>
#include <masticlever/settings/settings.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// Connects the membership table to the platform's instance list: polls the list and announces this instance.

namespace masticlever::masticleverd
{

class membership_host : public QObject
{
public:
    /// \p onChanged is called when the live instances or the leaving endpoints may have changed.
    membership_host(platform::instance_list &list, const settings::daemon_settings &settings,
                    membership::instance_notice self, std::function<void()> onChanged);

    /// Call once both services listen. \p address (HTTP service) and \p peerAddress have the form "IP:port".
    void start(const std::string &address, const std::string &peerAddress);
    /// Marks this instance as leaving and announces it.
    void beginLeaving();
    /// \p handler is called for each leaving endpoint that became known from the list first.
    void setLeavingHandler(std::function<void(const membership::endpoint_notice &)> handler);
    void onEndpointLeaving(const membership::endpoint_notice &notice);

    membership::membership_table &table() { return m_table; }
    const membership::membership_table &table() const { return m_table; }
    /// Incarnations of the live instances, including this one.
    std::vector<std::string> liveIncarnations() const;
    /// Live incarnations that are not leaving. Only these take over runs and write snapshots.
    std::vector<std::string> activeIncarnations() const;
    /// Position of this instance in activeIncarnations(), starting at 0; their number if it is not among them.
    std::size_t rank() const;
    /// Whether the list was read and this instance has run long enough to tell lost instances from unknown ones.
    bool canDetectLostInstances() const;
    /// Address of an instance's HTTP service; empty if unknown.
    std::string addressOf(const std::string &incarnation) const;

private:
    void poll();
    void announce();
    /// Calls the leaving handler for endpoints that the list shows as leaving for the first time.
    void reportLeavingEndpoints(const std::vector<platform::listed_instance> &list);
    /// Scales the poll interval with the fleet's size, so that the load on the list stays constant.
    void adjustPollInterval();
    void logChanges();

    platform::instance_list &m_list;
    settings::daemon_settings m_settings;
    membership::membership_table m_table;
    platform::listed_instance m_self;
    std::function<void()> m_onChanged;
    std::function<void(const membership::endpoint_notice &)> m_onEndpointLeaving;
    std::unordered_map<std::string, std::string> m_addresses; ///< by incarnation
    membership::instance_observer m_observer;
    common::instant m_startedAt;
    QTimer m_timer;
    bool m_listReachable = true;
    bool m_hasList = false;
};

} // namespace masticlever::masticleverd
