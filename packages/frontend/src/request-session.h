#pragma once

#include "caller-connection.h"
#include "frontend-context.h"
#include "request-placement.h"

#include <masticlever/forwarding/event-splitter.h>
#include <masticlever/forwarding/request-flow.h>
#include <masticlever/http1/client-connection.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Carries out what a request's flow decides: orders pieces, sends the request to endpoints, answers the caller.

namespace masticlever::frontend
{

class request_session final : private http1::exchange_handler
{
public:
    struct admitted_request {
        http1::message_head head;
        protocol::request_attributes attributes;
        std::shared_ptr<const catalog::service_configuration> configuration;
        const catalog::route *route = nullptr; ///< of that configuration
        std::string team;
        int priority = 0;
    };

    request_session(frontend_context &context, std::uint64_t number, caller_connection &caller,
                    admitted_request request, common::instant now);
    ~request_session() override;

    void begin();
    void addBody(std::string_view bytes) { m_body += bytes; }
    void onBodyEnd();
    void onPiece(stages::piece_ref piece, const protocol::piece_result &result);
    void onCallerGone();
    void onCallerDrained();
    void onTick(common::instant now);

    bool isEnded() const { return m_isEnded; }
    std::size_t bodyBytes() const { return m_body.size() + m_buffered.size(); }

private:
    /// What the head of an endpoint's answer makes of its body.
    enum class answer_use { none, pass_on, buffer, discard };

    /// What follows a stage until the first answer.
    struct stage_rest {
        common::duration expected{}; ///< when the stage was ordered
        std::optional<common::instant> beganAt; ///< the stage's results were all there
    };

    bool onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onFailure(http1::exchange_failure failure) override;

    void apply(forwarding::flow_step step);
    void order(const std::vector<stages::piece_ref> &pieces);
    void noteFirstAnswer(common::instant now);
    void call();
    void send(const catalog::endpoint_record &endpoint);
    bool isTooMuch(std::string_view bytes);
    void cutOff();
    forwarding::call_outcome rejectionOutcome() const;
    bool isServiceGone() const;
    std::optional<common::duration> untilEndpoint(common::instant now) const;
    void endCall(forwarding::call_end end, forwarding::call_outcome outcome);
    void dropCall(forwarding::call_outcome outcome);
    void passEvents(std::string_view bytes);
    void beginStream();
    void answerWhole();
    void answerOwn(const forwarding::own_answer &answer);
    void finish(std::string_view outcome, int status, std::string_view reason);
    std::string chooseService();
    std::string chooseEndpoint(common::instant now);
    result_locator locator() const;
    common::duration delayOf(const std::string &service) const;
    common::duration timeToDrain() const;

    frontend_context &m_context;
    std::uint64_t m_number;
    caller_connection *m_caller;
    admitted_request m_request;
    forwarding::request_flow m_flow;
    std::string m_body;
    bool m_isEnded = false;

    // The call under way.
    endpoint_pool::connection *m_connection = nullptr;
    std::string m_endpointId;
    std::string m_service; ///< chosen once, so that a retry stays on the same side of a split
    forwarding::data_centre_weights m_weights; ///< what the stage services of each data centre can carry
    std::string m_dataCentre; ///< where stage results are wanted
    common::instant m_sentAt;
    http1::message_head m_answer;
    protocol::answer_attributes m_answerAttributes;
    answer_use m_use = answer_use::none;
    forwarding::call_end m_verdict = forwarding::call_end::broken; ///< of an answer that is discarded
    bool m_isEventStream = false;
    bool m_isHeadPassed = false;
    std::string m_buffered;
    std::size_t m_discarded = 0; ///< bytes of an answer of which only the head counts
    net::receive_budget::holding m_received; ///< what is kept of the answer
    forwarding::event_splitter m_events;
    common::duration m_firstAnswer{};
    std::vector<stage_rest> m_rests; ///< by stage
};

} // namespace masticlever::frontend
