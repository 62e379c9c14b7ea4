#include "endpoint-reports.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int unavailable = 503;
constexpr duration maximumPause = std::chrono::minutes(10); ///< longer times are treated as a mistake and cut

} // namespace

void endpoint_reports::onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                                instant now)
{
    if (answer.isLeaving) {
        markLeaving(endpointId, now);
    }
    if (answer.isRetryAfterMalformed) {
        logEvent(event::quiet_unreadable, {{"endpoint", endpointId}});
    }
    if (status != unavailable || !answer.pauseFor) {
        return;
    }
    const duration pause = std::min(*answer.pauseFor, maximumPause);
    m_directory.onPauseRequested(endpointId, now + pause);
    logEvent(
        event::endpoint_quiet,
        {{"endpoint", endpointId}, {"quiet_ms", common::toMilliseconds(pause)}, {"is_cut", pause != *answer.pauseFor}});
}

void endpoint_reports::onAnswerFrom(std::string_view address, int status, const protocol::answer_attributes &answer,
                                    instant now)
{
    for (const std::string &id : m_directory.idsAt(address)) {
        onAnswer(id, status, answer, now);
    }
}

void endpoint_reports::onMisdirected(std::string_view endpointId, instant now)
{
    markLeaving(endpointId, now);
}

void endpoint_reports::markLeaving(std::string_view endpointId, instant now)
{
    const auto changes = m_directory.markLeaving(endpointId, now);
    if (!changes.empty()) {
        m_onLeaving(changes);
    }
}

} // namespace masticlever::frontend
