#pragma once

#include <masticlever/common/result.h>
#include <masticlever/peers/catch-up.h>
#include <masticlever/peers/codec.h>

#include <QTcpSocket>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace masticlever::peers::detail
{

/// Requests configuration records from one peer at a time; a new request cancels the previous one.
class records_client
{
public:
    using handler = std::function<void(std::uint64_t id, common::result<platform::log_batch>)>;

    records_client(std::string key, std::chrono::milliseconds timeout, handler done);
    ~records_client();
    records_client(const records_client &) = delete;
    records_client &operator=(const records_client &) = delete;

    void send(const catch_up_request &request);
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    void onReadable();
    bool sendRequest();
    void onFrame(const std::string &frame);
    void finish(common::result<platform::log_batch> outcome);

    std::string m_key;
    handler m_done;
    catch_up_request m_request;
    std::string m_requestMac; ///< empty until the challenge has been received
    bool m_isInFlight = false;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    QTimer m_timer;
    QTcpSocket m_socket; // declared last: its slots use the members above
};

} // namespace masticlever::peers::detail
