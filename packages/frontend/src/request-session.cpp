#include "request-session.h"

#include <masticlever/forwarding/shared-parts.h>
#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <array>
#include <utility>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using common::toMilliseconds;
using forwarding::call_outcome;
using forwarding::flow_step;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int lowestPriority = 9;
constexpr std::array<double, 14> latencyBuckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                                0.75, 1.0,   1.5,  2.0, 3.0, 5.0, 10.0};

const telemetry::metric_family requestsFamily{"masticlever_frontend_requests_total", "Requests by outcome."};
const telemetry::metric_family latencyFamily{"masticlever_frontend_first_answer_seconds",
                                             "Time from a request's head to the first byte of its answer.", 1500,
                                             latencyBuckets};

instant deadlineOf(const catalog::route &route, const protocol::request_attributes &attributes, instant now)
{
    duration limit = route.timeout.count() > 0 ? route.timeout : duration::max();
    if (attributes.deadline) {
        limit = std::min(limit, *attributes.deadline);
    }
    constexpr duration longest = std::chrono::minutes(10); // also if neither the route nor the caller sets a limit
    return now + std::min(limit, longest);
}

} // namespace

request_session::request_session(frontend_context &context, std::uint64_t number, caller_connection &caller,
                                 admitted_request request, instant now)
    : m_context(context), m_number(number), m_caller(&caller), m_request(std::move(request)),
      m_flow(*m_request.route, m_request.attributes, now, deadlineOf(*m_request.route, m_request.attributes, now), {}),
      m_answerBudget(context.budget, {}), m_sharedParts(forwarding::sharedParts(m_request.attributes))
{
    m_flow.setProducerCheck([this](std::string_view handle) { return m_context.pieces.isProducerGone(handle); });
    m_body.reserve(static_cast<std::size_t>(m_request.head.length));
    m_service = chooseService();
    m_stageTimings.resize(m_request.route->stages.size());
}

request_session::~request_session()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
        m_context.pool.release(m_connection, std::nullopt, monotonicNow());
    }
    m_context.load.onCallEnds(m_sharedCall, routing::own_outcome::neither);
}

void request_session::begin()
{
    const instant now = monotonicNow();
    m_context.retries.onRequest(m_service, now);
    if (endIfWithheld(now)) {
        return;
    }
    if (isServiceUnavailable(now)) {
        endWithoutEndpoint(now);
        return;
    }
    if (!m_request.route->stages.empty()) {
        m_dataCentreWeights
            = dataCentreWeights(m_context.directory, *m_request.route, m_service,
                                [this](std::string_view endpoint) { return m_context.gate.isLimited(endpoint); });
        const catalog::endpoint_record *likely = m_context.directory.findUsable(chooseEndpoint(now).id);
        m_dataCentre = likely == nullptr ? m_context.settings.dataCentre : likely->dataCentre;
    }
    apply(m_flow.onBegin(monotonicNow()));
}

void request_session::onBodyEnd()
{
    apply(m_flow.onBody(monotonicNow()));
}

/// Pieces that failed together are ordered again together, as each order carries the inputs of the stage.
void request_session::onPieces(std::span<const stages::piece_outcome> outcomes)
{
    const instant now = monotonicNow();
    flow_step step = m_flow.onPieces(outcomes, now);
    for (const stages::piece_outcome &outcome : outcomes) {
        const std::size_t stage = outcome.piece.stage;
        if (!step.isEnd() && !outcome.result.handle.empty() && m_flow.graph().missingPieces(stage) == 0) {
            m_stageTimings[stage].completedAt = now;
        }
    }
    apply(std::move(step));
}

/// Records the latency of the first answer and the time from the end of each stage to it.
void request_session::recordFirstAnswer(instant now)
{
    m_firstAnswerDelay = now - m_flow.receivedAt();
    m_context.latencyEstimator.onFirstAnswer(m_request.route->name, now - m_sentAt);
    for (std::size_t stage = 0; stage < m_stageTimings.size(); ++stage) {
        if (const auto completedAt = m_stageTimings[stage].completedAt) {
            m_context.latencyEstimator.onRemainingTime(m_request.route->name, stage, now - *completedAt,
                                                       m_stageTimings[stage].expected);
        }
    }
}

void request_session::onCallerGone()
{
    m_caller = nullptr;
    if (m_isEnded) {
        return;
    }
    flow_step step = m_flow.onCallerGone();
    const bool continuesWithoutCaller = m_connection != nullptr && !step.abortCall;
    apply(std::move(step));
    m_body.clear(); // the request is not sent again
    if (!continuesWithoutCaller) {
        finish("caller_left", 0, "");
    }
}

void request_session::onCallerDrained()
{
    if (m_connection != nullptr) {
        m_connection->setReading(true);
    }
}

void request_session::onTick(instant now)
{
    if (!m_isEnded && now >= m_flow.deadline()) {
        if (m_flow.isEnded()) {
            abandonCall(call_outcome::answered);
            finish("caller_left", 0, "");
            return;
        }
        apply(m_flow.onDeadline());
        return;
    }
    if (!m_isEnded && !m_flow.isEnded() && !m_flow.isCallInFlight()) {
        endIfTooLate(now);
    }
}

void request_session::onStopEnds()
{
    if (!m_isEnded && !m_flow.isEnded()) {
        apply(m_flow.onStop());
    }
}

/// Whether the request can still be answered before the process ends. Without a stop this is always so. The end of a
/// resumable stream need not be waited for, as its caller can go on elsewhere.
bool request_session::canAnswerInTime(instant now) const
{
    if (!m_answerBy) {
        return true;
    }
    const std::string &route = m_request.route->name;
    duration needed = m_flow.isResumable() ? m_context.latencyEstimator.expectedFirstAnswer(route)
                                           : m_context.latencyEstimator.expectedAnswer(route);
    for (std::size_t stage = 0; stage < m_request.route->stages.size(); ++stage) {
        if (m_flow.graph().missingPieces(stage) > 0) {
            needed += typicalCallTime(*m_request.configuration, m_request.route->stages[stage].service);
            break; // a lower bound: later stages may run at the same time
        }
    }
    return now + needed < *m_answerBy;
}

/// Ends a request that cannot be answered before the process ends. Returns false if it can be.
bool request_session::endIfTooLate(instant now)
{
    if (canAnswerInTime(now)) {
        return false;
    }
    apply(m_flow.onStop());
    return true;
}

void request_session::apply(flow_step step)
{
    m_context.pieces.release(step.release);
    if (step.abortCall) {
        abandonCall(call_outcome::answered); // not a failure of the endpoint
    }
    if (step.forwardFailure) {
        sendBufferedAnswer();
        finish("endpoint_failure", m_answer.status, step.reason);
        return;
    }
    if (step.answer) {
        sendLocalAnswer(*step.answer);
        finish(step.answer->status == 503 ? "refused" : "failed", step.answer->status, step.reason);
        return;
    }
    if (step.abortAnswer) {
        if (m_caller != nullptr) {
            std::exchange(m_caller, nullptr)->abortAnswer();
        }
        finish("broken_off", 0, step.reason);
        return;
    }
    const bool hasWork = step.call || !step.order.empty();
    if (hasWork && m_caller != nullptr && m_caller->hasCallerDisconnected()) {
        onCallerGone();
        return;
    }
    if (!step.order.empty()) {
        requestPieces(step.order);
    }
    if (step.call) {
        callEndpoint();
    }
}

/// Stops when the request ends meanwhile: a home in this process rejects at once what cannot be made in time.
void request_session::requestPieces(std::span<const stages::piece_order> orders)
{
    const instant now = monotonicNow();
    for (std::size_t i = 0; i < orders.size() && !m_isEnded;) {
        const std::size_t stage = orders[i].piece.stage;
        const catalog::stage_spec &spec = m_request.route->stages[stage];
        stages::piece_request pieceRequest;
        pieceRequest.inputs = orders[i].inputs;
        for (; i < orders.size() && orders[i].piece.stage == stage; ++i) {
            pieceRequest.pieces.push_back(orders[i].piece.piece);
        }
        pieceRequest.job = m_number;
        pieceRequest.requestId = m_request.attributes.requestId;
        pieceRequest.stage = stage;
        pieceRequest.key = pieceRequest.inputs.empty() ? m_request.attributes.pieceKey : std::string();
        const std::string inputDataCentre = dataCentreOfInputs(pieceRequest.inputs.view(), locator());
        pieceRequest.dataCentre = inputDataCentre.empty() ? m_dataCentre : inputDataCentre;
        pieceRequest.priority = m_request.priority;
        pieceRequest.resultBytes = spec.resultBytes;
        pieceRequest.transferBytes = pieceRequest.inputs.empty()
            ? spec.resultBytes * static_cast<double>(pieceRequest.pieces.size())
            : inputBytes(*m_request.route, m_flow.graph(), stage);
        m_stageTimings[stage].expected = m_context.latencyEstimator.remainingAfterStage(
            *m_request.route, stage, [this](const std::string &service) { return delayOf(service); });
        pieceRequest.downstreamTime = common::scaled(
            m_stageTimings[stage].expected, m_context.latencyEstimator.correctionFactor(m_request.route->name, stage));
        pieceRequest.objective = m_flow.objective();
        pieceRequest.deadline = std::min(m_flow.deadline(), m_answerBy.value_or(m_flow.deadline()));
        m_context.pieces.submit(spec.service, std::move(pieceRequest), now);
    }
}

/// Current time to make a piece of the service: the delay its home reports, but no less than a typical call.
duration request_session::delayOf(const std::string &service) const
{
    const duration typical = typicalCallTime(*m_request.configuration, service);
    return std::max(typical, m_context.pieces.expectedDelay(service, m_request.priority).value_or(typical));
}

/// Longest expected time until the queue of one of the route's stage services is empty.
duration request_session::timeToDrain() const
{
    duration longest{};
    for (const catalog::stage_spec &stage : m_request.route->stages) {
        longest = std::max(longest, m_context.pieces.expectedDelay(stage.service, lowestPriority).value_or(duration{}));
    }
    return longest;
}

void request_session::callEndpoint()
{
    const instant now = monotonicNow();
    if (endIfWithheld(now) || endIfTooLate(now)) {
        return;
    }
    const forwarding::chosen_endpoint chosen = chooseEndpoint(now);
    const catalog::endpoint_record *endpoint = m_context.directory.findUsable(chosen.id);
    if (endpoint == nullptr) {
        endWithoutEndpoint(now);
        return;
    }
    send(*endpoint, chosen.tokens);
}

void request_session::send(const catalog::endpoint_record &endpoint, const forwarding::call_tokens &tokens)
{
    const instant now = monotonicNow();
    m_connection = m_context.pool.acquire(endpoint.id, endpoint.address, forwarding::sender_role::one_of_fleet, now);
    if (m_connection == nullptr) {
        apply(m_flow.onNoEndpoint());
        return;
    }
    protocol::forward_options options;
    options.endpointId = endpoint.id;
    options.team = m_request.team;
    options.remaining = m_flow.deadline() - now;
    options.hasInputs = !m_request.route->stages.empty();
    options.inputs = m_flow.graph().finalInputs();
    options.resumeAfter = m_flow.resumeAfter();
    if (m_request.route->hasPrompt) {
        options.priority = m_request.priority;
    }
    http1::message_head head = m_context.protocol.toEndpointHead(m_request.head, options);
    if (!m_body.empty() || m_request.head.framing != http1::body_framing::none) {
        head.fields.push_back({"Content-Length", std::to_string(m_body.size())});
    }
    m_endpointId = endpoint.id;
    m_sentAt = now;
    m_answerMode = answer_mode::none;
    m_eventSplitter = {};
    m_bufferedAnswer.clear();
    m_discardedBytes = 0;
    m_hasEvents = false;
    m_firstBodyAt.reset();
    m_isAnswerSettled = false;
    m_answerBudget.restart(endpoint.address);
    m_flow.onCallBegins(endpoint.id);
    m_callTokens = tokens;
    m_context.choice.onCallBegins(endpoint.id, m_callTokens);
    m_sharedCall = m_context.load.onCallBegins(m_service, endpoint.id,
                                               {m_request.attributes.promptTokens, m_request.attributes.outputTokens,
                                                static_cast<std::uint64_t>(m_callTokens.pending)});
    m_connection->start(http1::requestText(head), m_body.views(), head.method == "HEAD", *this);
}

/// Sends the endpoint's answer, which has been received in full.
void request_session::sendBufferedAnswer()
{
    if (m_caller == nullptr) {
        return;
    }
    caller_connection *caller = std::exchange(m_caller, nullptr);
    caller->beginAnswer(m_context.protocol.toCallerHead(m_answer), m_bufferedAnswer.size());
    caller->sendBody(m_bufferedAnswer);
    caller->endAnswer();
}

void request_session::sendLocalAnswer(const forwarding::local_answer &answer)
{
    if (m_caller == nullptr) {
        return;
    }
    std::optional<duration> retryAfter = answer.retryAfter;
    if (retryAfter) {
        *retryAfter = std::max(*retryAfter, timeToDrain());
        // Random jitter keeps callers that are refused together from retrying together.
        constexpr std::uint64_t steps = 1024;
        *retryAfter += *retryAfter * static_cast<duration::rep>(m_context.random.next() % steps) / steps;
    }
    caller_connection *caller = std::exchange(m_caller, nullptr);
    caller->beginAnswer(m_context.protocol.localAnswer(answer.status, m_request.attributes.requestId, retryAfter), 0);
    caller->endAnswer();
}

void request_session::finish(std::string_view outcome, int status, std::string_view reason)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    m_caller = nullptr;
    m_body.clear();
    m_context.pieces.cancel(m_number);
    const instant now = monotonicNow();
    const std::int64_t version = static_cast<std::int64_t>(m_request.configuration->version());
    m_context.metrics.counterOf(requestsFamily, {{"route", m_request.route->name}, {"outcome", outcome}}).add();
    if (m_firstAnswerDelay.count() > 0) {
        m_context.metrics.histogramOf(latencyFamily, {{"route", m_request.route->name}})
            .observe(std::chrono::duration<double>(m_firstAnswerDelay).count());
    }
    logEvent(outcome == "answered" ? event::request_answered : event::request_ended,
             {{"request", std::string_view(m_request.attributes.requestId)},
              {"route", std::string_view(m_request.route->name)},
              {"team", std::string_view(m_request.team)},
              {"outcome", outcome},
              {"status", std::int64_t{status}},
              {"reason", reason},
              {"run", forwarding::nameOf(m_flow.state())},
              {"begun", m_flow.hasAnswerBegun() ? "yes" : "no"},
              {"endpoint", std::string_view(m_endpointId)},
              {"attempts", static_cast<std::uint64_t>(m_flow.attempts())},
              {"pieces_left", static_cast<std::uint64_t>(m_flow.graph().missingPieces())},
              {"sent_ms", m_flow.attempts() > 0 ? toMilliseconds(m_sentAt - m_flow.receivedAt()) : std::int64_t{-1}},
              {"first_ms", toMilliseconds(m_firstAnswerDelay)},
              {"total_ms", toMilliseconds(now - m_flow.receivedAt())},
              {"left_ms", toMilliseconds(m_flow.deadline() - now)},
              {"configuration", version}});
}

} // namespace masticlever::frontend
