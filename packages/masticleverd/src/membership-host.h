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
/// Hosts membership: the platform's list, this instance's own notice and its announcement.

namespace masticlever::masticleverd
{

class membership_host : public QObject
{
public:
    /// \p onChanged is called when instances or leaving endpoints may have changed.
    membership_host(platform::instance_list &list, const settings::daemon_settings &settings,
                    membership::instance_notice self, std::function<void()> onChanged);

    /// \p address of the HTTP service and \p peerAddress, "IP:port", once both listen.
    void start(const std::string &address, const std::string &peerAddress);
    void beginLeaving();
    /// Called for each endpoint that the list shows as leaving before anything else did.
    void setLeavingHandler(std::function<void(const membership::endpoint_notice &)> handler);
    void onEndpointLeaving(const membership::endpoint_notice &notice);

    membership::membership_table &table() { return m_table; }
    const membership::membership_table &table() const { return m_table; }
    /// Incarnations of the live instances, this one included.
    std::vector<std::string> liveIncarnations() const;
    /// Those of them that do not leave: homes of runs and writers of snapshots.
    std::vector<std::string> stayingIncarnations() const;
    /// Place of this instance among the live ones, from 0.
    std::size_t rank() const;
    /// Enough has been heard since the start to tell lost instances from unknown ones.
    bool isSettled() const;
    /// Address of an instance's HTTP service; empty when not known.
    std::string addressOf(const std::string &incarnation) const;

private:
    void poll();
    void announce();
    /// Tells the peers of endpoints that the list shows as leaving for the first time.
    void spreadLeaving(const std::vector<platform::listed_instance> &list);
    /// The fleet as a whole asks for the list a few times in an interval, whatever its size.
    void spaceOutPolls();
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
    bool m_listed = false;
};

} // namespace masticlever::masticleverd
