#include "request-session.h"

#include <masticlever/forwarding/shared-parts.h>
#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <cstdint>

/// \file
/// Choice of the service and the endpoint of a request, and its end if no endpoint accepts it.

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

const telemetry::metric_family withheldRequestsFamily{
    "masticlever_frontend_withheld_requests_total",
    "Requests that were not sent because a part of their prompt crashes endpoints."};

} // namespace

std::string request_session::chooseService()
{
    constexpr std::uint64_t steps = 1u << 30;
    const double point = static_cast<double>(m_context.random.next() % steps) / static_cast<double>(steps);
    return std::string(m_request.route->serviceAt(point));
}

result_locator request_session::locator() const
{
    return [this](std::string_view handle) { return m_context.pieces.dataCentreOf(handle); };
}

forwarding::chosen_endpoint request_session::chooseEndpoint(instant now)
{
    const auto inputs = finalInputBytes(*m_request.route, m_flow.graph(), locator());
    const bool isLoadShared = m_context.load.isEnabled(m_service);
    const catalog::service *service = m_request.configuration->findService(m_service);
    const forwarding::endpoint_views views{[this, now](std::string_view id) { return m_context.load.view(id, now); },
                                           service != nullptr && service->model ? service->model->cacheTokens : 0};
    const forwarding::placement place{m_context.settings.dataCentre, m_dataCentreWeights, inputs,
                                      isLoadShared ? &views : nullptr};
    auto usable = m_context.directory.usable(m_service);
    std::erase_if(usable, [&](const auto *endpoint) { return timeUntilOpen(*endpoint, now).count() > 0; });
    return m_context.choice.select(usable, m_flow.excluded(), m_request.attributes, place, now, m_context.random);
}

duration request_session::timeUntilOpen(const catalog::endpoint_record &endpoint, instant now) const
{
    return m_context.gate.timeUntilOpen(endpoint.id, forwarding::sender_role::one_of_fleet, now);
}

/// Whether endpoints are known, but none of the request's service is usable, or this instance may send requests to
/// none.
bool request_session::isServiceUnavailable(instant now) const
{
    const auto isExcluded = [&](const catalog::endpoint_record *endpoint) {
        return m_context.gate.ownRate(endpoint->id, forwarding::sender_role::one_of_fleet, now) == 0;
    };
    return m_context.directory.size() > 0 && std::ranges::all_of(m_context.directory.usable(m_service), isExcluded);
}

/// The endpoint that the request may still be sent to and that accepts requests first; nullptr when there is none.
const catalog::endpoint_record *request_session::firstToOpen(instant now) const
{
    const catalog::endpoint_record *first = nullptr;
    for (const catalog::endpoint_record *endpoint : m_context.directory.usable(m_service)) {
        const bool isCandidate = std::ranges::find(m_flow.excluded(), endpoint->id) == m_flow.excluded().end()
            && timeUntilOpen(*endpoint, now).count() > 0;
        if (isCandidate && (first == nullptr || timeUntilOpen(*endpoint, now) < timeUntilOpen(*first, now))) {
            first = endpoint;
        }
    }
    return first;
}

/// Ends the request because no endpoint accepts it now. The caller is told when the first one does.
void request_session::endWithoutEndpoint(instant now)
{
    const catalog::endpoint_record *first = firstToOpen(now);
    if (first == nullptr) {
        apply(m_flow.onNoEndpoint());
        return;
    }
    m_context.gate.onHeldBack(m_request.attributes.requestId, first->id, forwarding::sender_role::one_of_fleet, now);
    apply(m_flow.onNoEndpoint(timeUntilOpen(*first, now)));
}

/// Ends the request if a part of its prompt keeps crashing endpoints. Returns false if it may be sent.
bool request_session::endIfWithheld(instant now)
{
    const auto withheld = m_context.promptFaults.findWithheld(m_sharedParts, now);
    if (!withheld) {
        return false;
    }
    const std::string part = forwarding::formatPart(withheld->part);
    m_context.metrics.counterOf(withheldRequestsFamily, {{"route", m_request.route->name}}).add();
    logEvent(event::request_withheld,
             {{"request", std::string_view(m_request.attributes.requestId)},
              {"part", std::string_view(part)},
              {"crashes", static_cast<std::uint64_t>(withheld->crashes)},
              {"age_ms", common::toMilliseconds(withheld->sinceCrash)},
              {"released_ms", common::toMilliseconds(withheld->releasedIn)}});
    apply(m_flow.onWithheld(withheld->releasedIn));
    return true;
}

} // namespace masticlever::frontend
