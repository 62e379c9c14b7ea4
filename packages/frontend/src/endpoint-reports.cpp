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
constexpr duration longestQuiet = std::chrono::minutes(10); ///< a longer time is taken for a mistake

} // namespace

void endpoint_reports::onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                                instant now)
{
    if (answer.isLeaving) {
        leave(endpointId, now);
    }
    if (answer.isQuietUnreadable) {
        logEvent(event::quiet_unreadable, {{"endpoint", endpointId}});
    }
    if (status != unavailable || !answer.quietFor) {
        return;
    }
    const duration quiet = std::min(*answer.quietFor, longestQuiet);
    m_directory.onAskedQuiet(endpointId, now + quiet);
    logEvent(
        event::endpoint_quiet,
        {{"endpoint", endpointId}, {"quiet_ms", common::toMilliseconds(quiet)}, {"is_cut", quiet != *answer.quietFor}});
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
    leave(endpointId, now);
}

void endpoint_reports::leave(std::string_view endpointId, instant now)
{
    const auto changes = m_directory.onSeenLeaving(endpointId, now);
    if (!changes.empty()) {
        m_onLeaving(changes);
    }
}

} // namespace masticlever::frontend
