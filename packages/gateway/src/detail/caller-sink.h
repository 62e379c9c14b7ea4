#pragma once

#include <masticlever/gateway/caller-api.h>
#include <masticlever/gateway/exchange.h>

#include <QCryptographicHash>
#include <QPointer>

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// Sends a run's answer to the caller, as one JSON document or as server-sent events.

namespace masticlever::gateway::detail
{

class caller_sink : public answer_sink
{
public:
    caller_sink(exchange &httpExchange, std::string key, bool wantsStream);

    void onText(std::string_view text) override;
    void onReply(const runs::reply &reply) override;

private:
    void sendResult(const runs::reply &reply);
    void endStream(const runs::reply &reply);
    void sendProblem(const runs::reply &reply);

    QPointer<exchange> m_exchange;
    std::string m_key;
    bool m_wantsStream;
    QCryptographicHash m_digest;
    std::size_t m_length = 0; ///< of the text sent, in bytes
};

} // namespace masticlever::gateway::detail
