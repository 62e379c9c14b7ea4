#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/stages/stage-graph.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// One request on its way: its stages, its calls to endpoints, and its end. Holds the rule by which a request that
/// may not be repeated runs at most once, and by which a refusal is only given to a request that has not run.

namespace masticlever::forwarding
{

/// How a call to an endpoint ended without an answer for the caller.
enum class call_end {
    not_sent, ///< no byte of the request has left
    rejected, ///< the endpoint proves that it has not run the request
    misdirected, ///< another endpoint has the address; not run
    input_gone, ///< a stage result is gone; not run
    failure_answer, ///< a whole answer with a server error; has run
    broken, ///< no whole answer; may have run
};

/// Whether the request has run at an endpoint, as far as can be known here.
enum class run_state {
    not_run, ///< never sent, or every endpoint proved that it has not run it
    may_have_run, ///< sent, and no answer tells
    running, ///< an answer has begun
    has_run, ///< answered in full
};

struct own_answer {
    int status = 0;
    std::optional<common::duration> retryAfter;
};

/// What is to be done after an event.
struct flow_step {
    std::vector<stages::piece_ref> order; ///< pieces to be made
    std::vector<std::string> release; ///< results that are no longer needed
    bool call = false; ///< choose an endpoint and send the request
    bool abortCall = false;
    bool passFailureOn = false; ///< the endpoint's failure answer goes to the caller
    std::optional<own_answer> answer; ///< ends the request
    bool breakOff = false; ///< ends the request by closing the caller's connection in the middle of the answer
    std::string_view reason; ///< of the end, for logs

    bool isEnd() const { return answer.has_value() || breakOff || passFailureOn; }
};

struct flow_options {
    std::size_t connectAttempts = 3; ///< endpoints that cannot be connected to, for one request
    std::size_t pieceAttempts = 4; ///< orders of one piece, its remakes for lost inputs included
    common::duration leastCallTime = std::chrono::milliseconds(5); ///< a call with less time left is not sent
    common::duration retryAfter = std::chrono::milliseconds(400); ///< when no better figure is known
};

class request_flow
{
public:
    /// \p route must outlive the flow. The request ends by \p deadline.
    request_flow(const catalog::route &route, protocol::request_attributes attributes, common::instant receivedAt,
                 common::instant deadline, flow_options options);

    flow_step onBegin(common::instant now);
    /// The whole body is here.
    flow_step onBody(common::instant now);
    flow_step onPieceMade(stages::piece_ref piece, std::string handle, common::instant now);
    flow_step onPieceFailed(stages::piece_ref piece, protocol::piece_failure failure, common::instant now);
    /// There is no endpoint to call; \p comeBack when the first one takes requests again, if that is known.
    flow_step onNoEndpoint(std::optional<common::duration> comeBack = std::nullopt);
    void onCallBegins(const std::string &endpointId);
    /// \p takeRetry takes one retry from the budget; called only when a retry is otherwise possible.
    flow_step onCallEnds(call_end end, common::instant now, const std::function<bool()> &takeRetry);
    /// The head of the answer goes to the caller.
    void onAnswerBegins() { m_hasHead = true; }
    /// The endpoint has made something of the request: it has read its inputs.
    flow_step onProgress();
    void onEventPassed(std::uint64_t id) { m_lastEvent = id; }
    flow_step onAnswerEnds();
    flow_step onCallerGone();
    /// At the deadline.
    flow_step onDeadline();

    /// Tells whether the maker of a result is known to be gone; set once.
    void setMakerCheck(std::function<bool(std::string_view handle)> check) { m_isMakerGone = std::move(check); }

    const stages::stage_graph &graph() const { return m_graph; }
    common::instant receivedAt() const { return m_receivedAt; }
    common::instant deadline() const { return m_deadline; }
    common::instant objective() const { return m_receivedAt + m_route.latencyObjective; }
    run_state state() const { return m_state; }
    std::size_t attempts() const { return m_attempts; }
    /// Endpoints that are not to be called again.
    const std::vector<std::string> &excluded() const { return m_excluded; }
    bool isEnded() const { return m_isEnded; }
    /// Where a stream goes on: after the last event that was passed on, or that the caller named.
    std::optional<std::uint64_t> resumeAfter() const { return m_lastEvent ? m_lastEvent : m_attributes.resumeAfter; }

private:
    flow_step proceed(common::instant now);
    flow_step refuse(std::string_view reason, std::optional<common::duration> comeBack = std::nullopt);
    flow_step end(int status, std::string_view reason, std::optional<common::duration> comeBack = std::nullopt);
    flow_step finish(flow_step step);
    bool mayCallAgain(call_end ended, common::instant now, const std::function<bool()> &takeRetry);

    const catalog::route &m_route;
    protocol::request_attributes m_attributes;
    common::instant m_receivedAt;
    common::instant m_deadline;
    flow_options m_options;
    stages::stage_graph m_graph;
    std::function<bool(std::string_view)> m_isMakerGone;
    run_state m_state = run_state::not_run;
    std::vector<std::string> m_excluded;
    std::size_t m_attempts = 0; ///< endpoints that the request was sent to
    std::size_t m_failedConnects = 0;
    std::size_t m_pieceOrders = 0;
    std::size_t m_firstPieces = 0;
    bool m_hasBody = false;
    bool m_hasHead = false;
    bool m_isCalling = false;
    bool m_isEnded = false;
    std::optional<std::uint64_t> m_lastEvent;
};

} // namespace masticlever::forwarding
