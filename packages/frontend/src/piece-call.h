#pragma once

#include "endpoint-access.h"

#include <masticlever/http1/client-connection.h>
#include <masticlever/protocol/site-protocol.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// One call to an endpoint of a stage, from its sending to its answer.

namespace masticlever::frontend
{

class piece_call final : private http1::exchange_handler
{
public:
    enum class outcome { answered, rejected, misdirected, lost };
    using done_handler = std::function<void(outcome result, std::string_view body)>;

    /// The connection is given back before \p done is called; the object must live until then.
    piece_call(const endpoint_access &access, done_handler done);
    ~piece_call() override;

    /// \p endpointId may be the address where no other name is known. False when no connection can be opened; \p done
    /// is not called then.
    bool start(const std::string &endpointId, const std::string &address, http1::message_head head,
               const std::string &body);
    /// Gives up waiting.
    void expire();

private:
    bool onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onFailure(http1::exchange_failure failure) override;
    void finish(outcome result);
    /// What the head alone tells of the call.
    outcome outcomeOfHead() const;

    endpoint_access m_access;
    net::receive_budget::holding m_received;
    std::string m_endpointId;
    std::string m_address;
    done_handler m_done;
    endpoint_pool::connection *m_connection = nullptr;
    protocol::answer_attributes m_attributes;
    int m_status = 0;
    std::string m_body;
};

} // namespace masticlever::frontend
