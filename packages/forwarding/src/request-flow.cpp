#include <masticlever/forwarding/request-flow.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticlever::forwarding
{

using common::instant;
using protocol::piece_failure;

namespace
{

constexpr int requestTimeout = 408;
constexpr int misdirectedRequest = 421;
constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

/// Why a request ends after a call that ended without an answer for its caller, for logs.
std::string_view reasonOf(call_end ended)
{
    if (ended == call_end::broken) {
        return "answer_broken";
    }
    return ended == call_end::unproven_refusal ? "unproven_refusal" : "rejected";
}

} // namespace

std::string_view nameOf(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::may_have_run:
        return "may_have_run";
    case run_state::running:
        return "running";
    case run_state::has_run:
        break;
    }
    return "has_run";
}

bool promisesNotRun(int status)
{
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests
        || status == unavailable;
}

bool isProvenNotRun(call_end end)
{
    return end != call_end::failure_answer && end != call_end::unproven_refusal && end != call_end::broken;
}

request_flow::request_flow(const catalog::route &route, protocol::request_attributes attributes, instant receivedAt,
                           instant deadline, flow_options options)
    : m_route(route), m_attributes(std::move(attributes)), m_receivedAt(receivedAt), m_deadline(deadline),
      m_options(options), m_graph(route.stages, m_attributes.pieces),
      m_isProducerGone([](std::string_view) { return false; }), m_initialPieces(m_graph.missingPieces())
{ }

flow_step request_flow::finish(flow_step step)
{
    m_isEnded = true;
    for (std::string &handle : m_graph.heldHandles()) {
        step.release.push_back(std::move(handle));
    }
    return step;
}

flow_step request_flow::refuse(std::string_view reason, std::optional<common::duration> availableIn)
{
    flow_step step;
    step.answer = local_answer{unavailable, availableIn.value_or(m_options.retryAfter)};
    step.reason = reason;
    return finish(std::move(step));
}

/// Ends the request. The answer is a refusal only if the request has not run.
flow_step request_flow::end(int status, std::string_view reason, std::optional<common::duration> availableIn)
{
    if (m_hasAnswerBegun) {
        flow_step step;
        step.abortAnswer = true;
        step.reason = reason;
        return finish(std::move(step));
    }
    if (m_state == run_state::not_run) {
        return refuse(reason, availableIn);
    }
    flow_step step;
    step.answer = local_answer{status, std::nullopt};
    step.reason = reason;
    return finish(std::move(step));
}

flow_step request_flow::proceed(instant now)
{
    flow_step step;
    if (m_isEnded) {
        return step;
    }
    step.order = m_graph.takeReady();
    m_pieceOrders += step.order.size();
    if (m_pieceOrders > m_initialPieces * m_options.maxPieceAttempts) {
        return end(badGateway, "pieces_failed");
    }
    if (m_hasBody && !m_isCallInFlight && m_graph.isComplete()) {
        if (m_deadline - now < m_options.minCallTime) {
            return end(gatewayTimeout, "deadline");
        }
        step.call = true;
    }
    return step;
}

flow_step request_flow::onBegin(instant now)
{
    return proceed(now);
}

flow_step request_flow::onBody(instant now)
{
    m_hasBody = true;
    return proceed(now);
}

flow_step request_flow::onPieces(std::span<const stages::piece_outcome> outcomes, instant now)
{
    std::vector<std::string> released;
    bool isLate = false;
    for (const stages::piece_outcome &outcome : outcomes) {
        const std::string &handle = outcome.result.handle;
        if (!handle.empty() && m_isEnded) {
            released.push_back(handle);
        } else if (!handle.empty()) {
            std::ranges::move(m_graph.onResult(outcome.piece, handle), std::back_inserter(released));
        } else if (outcome.result.failure == piece_failure::input_gone) {
            m_graph.onInputGone(outcome.piece, m_isProducerGone);
        } else {
            m_graph.onFailed(outcome.piece);
            isLate = isLate || outcome.result.failure == piece_failure::late;
        }
    }
    flow_step step;
    if (!m_isEnded) {
        std::ranges::move(m_graph.takeDiscarded(), std::back_inserter(released));
        step = isLate ? end(gatewayTimeout, "stages_late") : proceed(now);
    }
    std::ranges::move(released, std::back_inserter(step.release));
    return step;
}

flow_step request_flow::onNoEndpoint(std::optional<common::duration> availableIn)
{
    return end(badGateway, availableIn ? "endpoints_quiet" : "no_endpoint", availableIn);
}

flow_step request_flow::onWithheld(common::duration releasedIn)
{
    return end(badGateway, "withheld", releasedIn);
}

void request_flow::onCallBegins(const std::string &endpointId)
{
    m_isCallInFlight = true;
    m_excluded.push_back(endpointId);
    ++m_attempts;
}

bool request_flow::canRetry(call_end ended, instant now, const std::function<bool()> &takeRetry)
{
    const bool isAllowed
        = (isProvenNotRun(ended) || m_route.allowsRetry()) && (!m_hasAnswerBegun || m_route.isResumable);
    if (!isAllowed || m_attempts >= m_route.maximumAttempts || m_deadline - now < m_options.minCallTime) {
        return false;
    }
    if (ended == call_end::not_sent) {
        return m_failedConnects <= m_options.maxConnectRetries; // not received by any endpoint, so free of the budget
    }
    return takeRetry();
}

flow_step request_flow::onCallEnds(call_end ended, instant now, const std::function<bool()> &takeRetry)
{
    m_isCallInFlight = false;
    if (m_isEnded) {
        return {};
    }
    if (ended == call_end::not_sent) {
        --m_attempts;
        ++m_failedConnects;
    }
    if (!isProvenNotRun(ended)) {
        m_state = ended == call_end::failure_answer ? run_state::has_run : run_state::may_have_run;
    }
    if (canRetry(ended, now, takeRetry)) {
        m_pieceOrders = 0; // the inputs are made again for the next attempt
        if (ended == call_end::input_gone) {
            m_graph.onFinalInputGone(m_isProducerGone);
        }
        m_graph.recomputeFinalInputs();
        std::vector<std::string> discarded = m_graph.takeDiscarded();
        flow_step step = proceed(now);
        std::ranges::move(discarded, std::back_inserter(step.release));
        return step;
    }
    if (ended == call_end::failure_answer && !m_hasAnswerBegun) {
        flow_step step;
        step.forwardFailure = true;
        step.reason = "endpoint_failure";
        return finish(std::move(step));
    }
    return end(badGateway, reasonOf(ended));
}

flow_step request_flow::onProgress()
{
    flow_step step;
    step.release = m_graph.releaseFinalInputs();
    return step;
}

flow_step request_flow::onAnswerEnds()
{
    m_isCallInFlight = false;
    m_state = run_state::has_run;
    return finish({});
}

flow_step request_flow::onCallerGone()
{
    flow_step step;
    // A non-idempotent call is left to finish, because the caller could not find out whether an aborted one has run.
    step.abortCall = m_isCallInFlight && (m_route.kind != catalog::request_kind::non_idempotent);
    return finish(std::move(step));
}

flow_step request_flow::onDeadline()
{
    return endNow(gatewayTimeout, "deadline");
}

flow_step request_flow::onStop()
{
    return endNow(badGateway, "stopping");
}

/// Ends the request without waiting for the call in flight.
flow_step request_flow::endNow(int status, std::string_view reason)
{
    const bool wasCallInFlight = m_isCallInFlight;
    if (wasCallInFlight && m_state == run_state::not_run) {
        m_state = run_state::may_have_run;
    }
    flow_step step = end(status, reason);
    step.abortCall = wasCallInFlight;
    return step;
}

} // namespace masticlever::forwarding
