#include "log-follower.h"

#include <masticlever/telemetry/events.h>

#include <QPointer>
#include <QTimer>

#include <utility>

namespace masticlever::masticleverd
{

log_follower::log_follower(platform::log_service &service, follower_options options, next_offset next,
                           batch_handler onBatch, failure_handler onFailure)
    : m_service(service), m_options(std::move(options)), m_nextOffset(std::move(next)), m_onBatch(std::move(onBatch)),
      m_onFailure(std::move(onFailure))
{ }

void log_follower::read()
{
    const QPointer<log_follower> self(this);
    // The first read after an outage does not wait, so that it returns the log's end immediately.
    const auto wait = m_reachable ? m_options.pollTimeout : std::chrono::milliseconds(0);
    m_service.read(m_options.log, m_nextOffset(), m_options.maxRecords, wait,
                   [self](const common::result<platform::log_batch> &outcome) {
                       if (self) {
                           self->onRead(outcome);
                       }
                   });
}

void log_follower::onRead(const common::result<platform::log_batch> &outcome)
{
    const bool isReachable = outcome.has_value();
    if (isReachable != m_reachable || !m_hasLoggedState) {
        m_reachable = isReachable;
        m_hasLoggedState = true;
        const auto event = isReachable ? telemetry::event::log_reachable : telemetry::event::log_unreachable;
        telemetry::logEvent(event, {{"log", std::string_view(m_options.log)}});
    }
    if (isReachable) {
        m_onBatch(outcome.value());
        read();
        return;
    }
    m_onFailure();
    QTimer::singleShot(m_options.retryDelay, this, [this] { read(); });
}

} // namespace masticlever::masticleverd
