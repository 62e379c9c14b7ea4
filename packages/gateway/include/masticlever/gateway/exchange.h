#pragma once

#include <QByteArray>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// One HTTP request from a caller or operator, and its answer.

namespace masticlever::gateway
{

struct http_request {
    std::string method;
    std::vector<std::string> path; ///< percent-decoded segments
    QByteArray body;
    std::function<QByteArray(const char *name)> header; ///< empty when absent
    std::function<std::string(const char *name)> query; ///< empty when absent
};

struct header {
    std::string name;
    std::string value;
};

/// Ignores writes once the connection is closed. Deletes itself after writing the answer or when the peer disconnects.
class exchange : public QObject
{
    Q_OBJECT

public:
    exchange(QTcpSocket *socket, http_request request, bool keepAlive);

    const http_request &request() const { return m_request; }
    bool isOpen() const;
    bool hasStarted() const { return m_headSent; }

    /// Sends a complete answer; has no effect once an answer has started.
    void answer(int status, std::string_view contentType, std::string_view body,
                std::initializer_list<header> headers = {});
    void answerJson(int status, std::string_view body, std::initializer_list<header> headers = {});

    /// \name Server-sent events in chunked encoding
    /// \{
    void beginEvents();
    void sendEvent(std::string_view name, std::string_view json);
    void endEvents();
    /// \}

Q_SIGNALS:
    /// The peer closed the connection before the answer was written.
    void disconnected();
    void finished();

private:
    void finish();
    void writeChunk(std::string_view data);

    QPointer<QTcpSocket> m_socket;
    http_request m_request;
    bool m_keepAlive;
    bool m_headSent = false;
    bool m_finished = false;
};

} // namespace masticlever::gateway
