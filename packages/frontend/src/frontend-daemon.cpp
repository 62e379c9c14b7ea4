#include "daemon-core.h"

#include <utility>

namespace masticlever::frontend
{

class frontend_daemon::implementation : public daemon_core
{
public:
    using daemon_core::daemon_core;
};

frontend_daemon::frontend_daemon(frontend_settings settings, const protocol::wire_protocol &protocol,
                                 common::random_source &random, std::string incarnation)
    : m_implementation(std::make_unique<implementation>(std::move(settings), protocol, random, std::move(incarnation)))
{ }

frontend_daemon::~frontend_daemon() = default;

std::string frontend_daemon::start()
{
    return m_implementation->start();
}

void frontend_daemon::stop()
{
    m_implementation->stop();
}

void frontend_daemon::reload(const frontend_settings &settings)
{
    m_implementation->reload(settings);
}

} // namespace masticlever::frontend
