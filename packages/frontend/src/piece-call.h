#pragma once

#include "endpoint-access.h"

#include <masticlever/common/time.h>
#include <masticlever/forwarding/answer-owner.h>
#include <masticlever/http1/client-connection.h>
#include <masticlever/protocol/wire-protocol.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// One call to an endpoint of a stage service, from sending the request to the end of the answer.

namespace masticlever::frontend
{

class piece_call final : private http1::exchange_handler
{
public:
    enum class outcome { answered, rejected, misdirected, lost };
    /// What a success has. An extra confirmation does no harm on a connection that carries nothing else.
    enum class answer_kind { results, confirmation };
    using done_handler = std::function<void(outcome result, std::string_view body)>;

    /// \p id is the one that the head of the call names. The connection is returned to the pool before \p done is
    /// called. The object must not be destroyed before \p done returns.
    piece_call(const endpoint_access &access, std::string id, answer_kind kind, done_handler done);
    ~piece_call() override;

    /// \p endpointId is the address when the id is not known. Returns false, without calling the done handler, when no
    /// connection can be opened or the endpoint's rate limit does not admit the call.
    bool start(const std::string &endpointId, const std::string &address, http1::message_head head,
               std::string_view body);
    /// Bytes of the call that have not been sent yet.
    std::size_t unsentBytes() const { return m_connection == nullptr ? 0 : m_connection->unsentBytes(); }
    /// Abandons the call and reports it as lost.
    void expire();

private:
    bool onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onFailure(http1::exchange_failure failure) override;
    void finish(outcome result);
    /// Whether the answer has to name its call if the connection had an earlier one.
    bool needsId() const;
    /// Whether the answer may be used as that of this call.
    bool isOwn() const;
    /// Outcome of an answer that is not a success, from its head alone.
    outcome outcomeFromHead() const;

    const endpoint_access &m_access;
    std::string m_id;
    answer_kind m_kind;
    net::receive_budget::holding m_bodyBudget;
    std::string m_endpointId;
    std::string m_address;
    done_handler m_done;
    endpoint_pool::connection *m_connection = nullptr;
    common::instant m_sentAt;
    protocol::answer_attributes m_attributes;
    forwarding::answer_owner m_owner = forwarding::answer_owner::unknown; ///< of the answer that is being received
    int m_status = 0;
    std::string m_body;
};

} // namespace masticlever::frontend
