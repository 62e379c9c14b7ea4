#pragma once

#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Base of the platform stand-ins: parses requests and writes arbitrary bytes as answers.

namespace masticlever::site
{

/// One request and its connection; the answer may be written at any later time.
class site_exchange
{
public:
    virtual ~site_exchange() = default;
    virtual const http1::message_head &head() const = 0;
    virtual const std::string &body() const = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void reset() = 0; ///< aborts the connection
    virtual void closeWhenSent() = 0;
    virtual bool isOpen() const = 0;
    virtual std::size_t connectionNumber() const = 0; ///< number of its connection at the server
    virtual std::size_t unsentBytes() const = 0; ///< written but not yet read by the daemon

    /// Answers with \p status as the status line's text after the version.
    void answerAs(std::string_view status, std::string_view body, const std::vector<http1::header_field> &fields);
    void answer(int status, std::string_view body, const std::vector<http1::header_field> &fields = {});
    /// Value of a query parameter; empty if absent.
    std::string query(std::string_view name) const;
    std::string path() const;
    std::string field(std::string_view name) const;
};

using exchange_pointer = std::shared_ptr<site_exchange>;

class site_server
{
public:
    using request_handler = std::function<void(exchange_pointer exchange)>;

    /// Receives the head of a request before its body; returns whether it has dealt with the request.
    using head_handler = std::function<bool(exchange_pointer exchange)>;

    explicit site_server(request_handler handler, head_handler onHead = nullptr);
    ~site_server();

    /// Listens on 127.0.0.1; port 0 selects any free port. Returns "IP:port".
    std::string listen(std::uint16_t port = 0);
    /// Aborts all connections and accepts none until listen() is called again.
    void stop();
    std::size_t accepted() const { return m_accepted; }

private:
    class connection;

    request_handler m_handler;
    head_handler m_onHead;
    std::unique_ptr<net::listener> m_listener;
    std::map<connection *, std::shared_ptr<connection>> m_connections;
    std::size_t m_accepted = 0;
};

} // namespace masticlever::site
