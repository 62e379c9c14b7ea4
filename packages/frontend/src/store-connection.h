#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>
#include <masticlever/http1/client-connection.h>
#include <masticlever/net/receive-budget.h>
#include <masticlever/protocol/wire-protocol.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// A connection to the store that carries one call at a time.

namespace masticlever::frontend
{

class store_connection final : private http1::exchange_handler
{
public:
    struct store_answer {
        http1::message_head head;
        std::string body;
    };
    /// With error::lost_answer the call may have been executed.
    using answer_handler = std::function<void(common::result<store_answer> answer)>;

    store_connection(std::string address, net::receive_budget &budget)
        : m_address(std::move(address)), m_received(budget, m_address)
    { }
    ~store_connection() override;

    bool isBusy() const { return static_cast<bool>(m_handler); }
    void call(const protocol::store_call &call, common::duration timeout, answer_handler handler, common::instant now);
    /// Fails a call whose timeout has passed.
    void onTick(common::instant now);
    /// Drops the connection; a call in flight fails.
    void reset();

private:
    bool onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onFailure(http1::exchange_failure failure) override;
    void finish(common::result<store_answer> answer);

    std::string m_address;
    net::receive_budget::holding m_received;
    std::unique_ptr<http1::client_connection> m_connection;
    std::unique_ptr<http1::client_connection> m_ended; ///< deleted later, outside of its own handlers
    answer_handler m_handler;
    store_answer m_answer;
    common::instant m_deadline;
};

} // namespace masticlever::frontend
