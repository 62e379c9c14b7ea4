#pragma once

#include "caller-connection.h"
#include "frontend-context.h"
#include "request-placement.h"

#include <masticlever/common/block-buffer.h>
#include <masticlever/forwarding/event-splitter.h>
#include <masticlever/forwarding/request-flow.h>
#include <masticlever/http1/client-connection.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Executes the steps of a request's flow: requests pieces, forwards the request to endpoints, and answers the caller.

namespace masticlever::frontend
{

class request_session final : private http1::exchange_handler
{
public:
    struct admitted_request {
        http1::message_head head;
        protocol::request_attributes attributes;
        std::shared_ptr<const catalog::service_configuration> configuration;
        const catalog::route *route = nullptr; ///< within that configuration
        std::string team;
        int priority = 0;
    };

    request_session(frontend_context &context, std::uint64_t number, caller_connection &caller,
                    admitted_request request, common::instant now);
    ~request_session() override;

    void begin();
    void addBody(std::string_view bytes) { m_body.append(bytes); }
    void onBodyEnd();
    void onPieces(std::span<const stages::piece_outcome> outcomes);
    void onCallerGone();
    void onCallerDrained();
    void onTick(common::instant now);
    /// The process is stopping: the request must have its answer by \p answerBy.
    void onStopBegins(common::instant answerBy) { m_answerBy = answerBy; }
    /// Ends the request with what is known of it, because the process ends.
    void onStopEnds();

    bool isEnded() const { return m_isEnded; }
    /// Bytes of the copy of the body that is being sent to an endpoint.
    std::size_t allocatedBodyBytes() const { return m_body.capacity(); }
    std::size_t copyBytes() const { return m_connection == nullptr ? 0 : m_body.size(); }

private:
    /// How the body of an endpoint's answer is handled, as its head determines.
    enum class answer_mode { none, stream, buffer, discard };

    /// For the time between the end of a stage and the first answer.
    struct stage_timing {
        common::duration expected{}; ///< estimated when the pieces of the stage were requested
        std::optional<common::instant> completedAt; ///< when the last result of the stage arrived
    };

    bool onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onFailure(http1::exchange_failure failure) override;

    void apply(forwarding::flow_step step);
    void requestPieces(std::span<const stages::piece_order> orders);
    void recordFirstAnswer(common::instant now);
    void callEndpoint();
    void send(const catalog::endpoint_record &endpoint, const forwarding::call_tokens &tokens);
    bool isStreamCutOff() const;
    bool exceedsLimit(std::string_view bytes);
    void abortOversizedAnswer();
    forwarding::call_outcome discardOutcome() const;
    void onProgress(common::instant now);
    void reportInterruption(common::instant now);
    common::duration timeUntilOpen(const catalog::endpoint_record &endpoint, common::instant now) const;
    bool isServiceUnavailable(common::instant now) const;
    const catalog::endpoint_record *firstToOpen(common::instant now) const;
    void endWithoutEndpoint(common::instant now);
    bool endIfWithheld(common::instant now);
    void endCall(forwarding::call_end end, forwarding::call_outcome outcome);
    void abandonCall(forwarding::call_outcome outcome);
    void forwardEvents(std::string_view bytes);
    void beginStream();
    void sendBufferedAnswer();
    void sendLocalAnswer(const forwarding::local_answer &answer);
    void finish(std::string_view outcome, int status, std::string_view reason);
    std::string chooseService();
    forwarding::chosen_endpoint chooseEndpoint(common::instant now);
    result_locator locator() const;
    common::duration delayOf(const std::string &service) const;
    common::duration timeToDrain() const;
    bool canAnswerInTime(common::instant now) const;
    bool endIfTooLate(common::instant now);

    frontend_context &m_context;
    std::uint64_t m_number;
    caller_connection *m_caller;
    admitted_request m_request;
    forwarding::request_flow m_flow;
    common::block_buffer m_body;
    bool m_isEnded = false;
    std::optional<common::instant> m_answerBy; ///< when the process stops answering; nothing unless it is stopping

    // The call in flight.
    endpoint_pool::connection *m_connection = nullptr;
    std::string m_endpointId;
    std::string m_service; ///< chosen once, so that retries stay with the same service of a traffic split
    forwarding::data_centre_weights m_dataCentreWeights; ///< by the capacity of the stage services
    std::string m_dataCentre; ///< where stage results are preferred
    common::instant m_sentAt;
    forwarding::call_tokens m_callTokens; ///< of the call in flight
    std::optional<shared_call> m_sharedCall; ///< if the load of the endpoint is shared
    http1::message_head m_answer;
    protocol::answer_attributes m_answerAttributes;
    answer_mode m_answerMode = answer_mode::none;
    forwarding::call_end m_endIfDiscarded = forwarding::call_end::broken; ///< end of a call whose answer is discarded
    bool m_isEventStream = false;
    bool m_hasEvents = false; ///< a complete event of the answer in flight has arrived
    bool m_isHeadSent = false;
    std::string m_bufferedAnswer;
    std::size_t m_discardedBytes = 0; ///< body bytes received of a discarded answer
    net::receive_budget::holding m_answerBudget; ///< accounts for the buffered part of the answer
    forwarding::event_splitter m_eventSplitter;
    std::vector<std::uint64_t> m_sharedParts; ///< fingerprints of the prompt's parts
    std::optional<common::instant> m_firstBodyAt; ///< of the answer in flight
    bool m_isAnswerSettled = false; ///< the answer in flight has made progress for a while, or is complete
    common::duration m_firstAnswerDelay{};
    std::vector<stage_timing> m_stageTimings; ///< by stage
};

} // namespace masticlever::frontend
