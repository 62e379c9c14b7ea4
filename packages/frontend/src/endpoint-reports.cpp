#include "endpoint-reports.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
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
constexpr int misdirected = 421; ///< sent by another endpoint that uses the address
constexpr duration maximumPause = std::chrono::minutes(10); ///< longer times are treated as a mistake and cut

} // namespace

void endpoint_reports::onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                                instant sentAt, instant now)
{
    updateRateLimit(endpointId, status, answer, sentAt, now);
    updatePace(endpointId, answer, now);
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
                                    instant sentAt, instant now)
{
    for (const std::string &id : m_directory.idsAt(address)) {
        onAnswer(id, status, answer, sentAt, now);
    }
}

void endpoint_reports::updateRateLimit(std::string_view endpointId, int status,
                                       const protocol::answer_attributes &answer, instant sentAt, instant now)
{
    if (answer.isRateLimitMalformed) {
        logEvent(event::rate_limit_unreadable, {{"endpoint", endpointId}});
        return;
    }
    const std::uint64_t startedAtMs = m_directory.startedAtMsOf(endpointId);
    if (startedAtMs != 0 && status != misdirected) {
        m_rateLimits.onAnswer(endpointId, startedAtMs, answer.rateLimit, sentAt, now);
    }
}

void endpoint_reports::updatePace(std::string_view endpointId, const protocol::answer_attributes &answer, instant now)
{
    if (answer.isLoadMalformed) {
        logEvent(event::endpoint_load_unreadable, {{"endpoint", endpointId}});
    } else if (answer.load && answer.load->pace && !m_directory.serviceOf(endpointId).empty()) {
        m_paces.try_emplace(std::string(endpointId), stages::pace_filter({}))
            .first->second.onReport(*answer.load->pace, now);
    }
}

double endpoint_reports::paceOf(std::string_view endpointId, instant now) const
{
    const auto found = m_paces.find(endpointId);
    return found == m_paces.end() ? 1 : found->second.pace(now);
}

void endpoint_reports::forget(std::string_view endpointId)
{
    const auto found = m_paces.find(endpointId);
    if (found != m_paces.end()) {
        m_paces.erase(found);
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
