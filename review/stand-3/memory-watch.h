#pragma once

#include "deployment.h"

#include <QTimer>

#include <cstddef>
#include <map>
#include <set>

/// \file
/// Ends a process that exceeds the memory of its machine and starts it again, as the platform does.

namespace review
{

constexpr std::size_t bytesPerMegabyte = 1000000;

class memory_watch
{
public:
    memory_watch(deployment &site, record &log, std::size_t limitMb);

    std::map<std::size_t, int> ends; ///< by daemon
    std::map<std::size_t, std::size_t> most; ///< resident bytes, by daemon

private:
    void check();

    deployment &m_site;
    record &m_log;
    std::size_t m_limitMb;
    std::set<std::size_t> m_restarting; ///< daemons that are being ended and are not started again yet
    QTimer m_timer;
};

} // namespace review
