#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/stages/stage-graph.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// State machine of one request: its stages, its calls to endpoints and how it ends. Ensures that a request that must
/// not be repeated runs at most once, and that only a request that has not run is answered with a refusal.

namespace masticlever::forwarding
{

/// Why a call to an endpoint ended without a usable answer.
enum class call_end {
    not_sent, ///< no byte of the request was sent
    rejected, ///< the endpoint proved that it did not run the request
    misdirected, ///< the address belongs to another endpoint now; not run
    input_gone, ///< a stage result is lost; not run
    failure_answer, ///< a complete answer with a server error; has run
    unproven_refusal, ///< an answer whose status denies a run, without a proof of it; may have run
    broken, ///< no complete answer; may have run
};

/// Whether the request has run at an endpoint, as far as it is known.
enum class run_state {
    not_run, ///< never sent, or every endpoint proved that it did not run it
    may_have_run, ///< sent, and no answer proves the outcome
    running, ///< an answer has begun
    has_run, ///< answered in full
};

std::string_view nameOf(run_state state);

/// Whether callers take \p status as the promise that a request has not run and never will.
bool promisesNotRun(int status);
/// Whether \p end proves that the endpoint did not run the request.
bool isProvenNotRun(call_end end);

/// An answer that is generated here instead of by an endpoint.
struct local_answer {
    int status = 0;
    std::optional<common::duration> retryAfter;
};

/// Actions to take after an event.
struct flow_step {
    std::vector<stages::piece_order> order; ///< pieces to order, by stage
    std::vector<std::string> release; ///< handles of results to release
    bool call = false; ///< choose an endpoint and send the request
    bool abortCall = false;
    bool forwardFailure = false; ///< forward the endpoint's failure answer to the caller; ends the request
    std::optional<local_answer> answer; ///< ends the request
    bool abortAnswer = false; ///< close the caller's connection in the middle of the answer; ends the request
    std::string_view reason; ///< why the request ended, for logs

    bool isEnd() const { return answer.has_value() || abortAnswer || forwardFailure; }
};

struct flow_options {
    std::size_t maxConnectRetries = 3; ///< retries after failed connections, per request
    std::size_t maxPieceAttempts = 4; ///< mean orders per piece and attempt, including those to replace lost inputs
    common::duration minCallTime = std::chrono::milliseconds(5); ///< no call is sent with less time left
    common::duration retryAfter = std::chrono::milliseconds(400); ///< if no better estimate is known
};

class request_flow
{
public:
    /// \p route must outlive the flow. The request ends by \p deadline.
    request_flow(const catalog::route &route, protocol::request_attributes attributes, common::instant receivedAt,
                 common::instant deadline, flow_options options);

    flow_step onBegin(common::instant now);
    /// The request body is complete.
    flow_step onBody(common::instant now);
    /// The outcomes of pieces that one answer holds. Any of them can show that the inputs of the others are lost, so
    /// nothing is ordered before all of them are known.
    flow_step onPieces(std::span<const stages::piece_outcome> outcomes, common::instant now);
    /// There is no endpoint to call. \p availableIn is the time until one accepts requests again, if known.
    flow_step onNoEndpoint(std::optional<common::duration> availableIn = std::nullopt);
    /// The request must not be sent to any endpoint until \p releasedIn has passed.
    flow_step onWithheld(common::duration releasedIn);
    void onCallBegins(const std::string &endpointId);
    /// \p takeRetry takes one retry from the budget if it can; called only if a retry is otherwise allowed.
    flow_step onCallEnds(call_end end, common::instant now, const std::function<bool()> &takeRetry);
    /// The head of the answer is sent to the caller.
    void onAnswerBegins() { m_hasAnswerBegun = true; }
    /// The endpoint has produced output, so it has read the inputs of the request.
    flow_step onProgress();
    void onEventForwarded(std::uint64_t id) { m_lastEvent = id; }
    flow_step onAnswerEnds();
    flow_step onCallerGone();
    /// The deadline has passed.
    flow_step onDeadline();
    /// The process is stopping and cannot wait for an answer any longer.
    flow_step onStop();

    /// Sets the check whether the producer of a result is known to be gone. Call once.
    void setProducerCheck(std::function<bool(std::string_view handle)> check) { m_isProducerGone = std::move(check); }

    const stages::stage_graph &graph() const { return m_graph; }
    common::instant receivedAt() const { return m_receivedAt; }
    common::instant deadline() const { return m_deadline; }
    common::instant objective() const { return m_receivedAt + m_route.latencyObjective; }
    run_state state() const { return m_state; }
    bool hasAnswerBegun() const { return m_hasAnswerBegun; }
    std::size_t attempts() const { return m_attempts; }
    /// Endpoints that must not be called again.
    const std::vector<std::string> &excluded() const { return m_excluded; }
    bool isEnded() const { return m_isEnded; }
    bool isCallInFlight() const { return m_isCallInFlight; }
    bool isResumable() const { return m_route.isResumable; }
    /// Id of the event to resume a stream after: the last one forwarded, else the one that the caller named.
    std::optional<std::uint64_t> resumeAfter() const { return m_lastEvent ? m_lastEvent : m_attributes.resumeAfter; }

private:
    flow_step proceed(common::instant now);
    flow_step refuse(std::string_view reason, std::optional<common::duration> availableIn = std::nullopt);
    flow_step end(int status, std::string_view reason, std::optional<common::duration> availableIn = std::nullopt);
    flow_step finish(flow_step step);
    flow_step endNow(int status, std::string_view reason);
    bool canRetry(call_end ended, common::instant now, const std::function<bool()> &takeRetry);

    const catalog::route &m_route;
    protocol::request_attributes m_attributes;
    common::instant m_receivedAt;
    common::instant m_deadline;
    flow_options m_options;
    stages::stage_graph m_graph;
    std::function<bool(std::string_view)> m_isProducerGone;
    run_state m_state = run_state::not_run;
    std::vector<std::string> m_excluded;
    std::size_t m_attempts = 0; ///< number of endpoints that the request was sent to
    std::size_t m_failedConnects = 0;
    std::size_t m_pieceOrders = 0; ///< since the attempt began
    std::size_t m_initialPieces = 0;
    bool m_hasBody = false;
    bool m_hasAnswerBegun = false;
    bool m_isCallInFlight = false;
    bool m_isEnded = false;
    std::optional<std::uint64_t> m_lastEvent;
};

} // namespace masticlever::forwarding
