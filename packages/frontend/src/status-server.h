#pragma once

#include <masticlever/common/time.h>
#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file
/// Serves status requests about this instance: readiness checks of the load balancer, and metrics.

namespace masticlever::frontend
{

struct status_answer {
    int status = 404;
    std::string contentType = "text/plain";
    std::string body;
};

class status_server
{
public:
    using answer_function = std::function<status_answer(const http1::message_head &head)>;

    explicit status_server(answer_function answer);
    ~status_server();

    bool listen(const std::string &address);
    void onTick(common::instant now);

private:
    class connection;

    answer_function m_answer;
    std::vector<std::unique_ptr<net::listener>> m_listeners;
    std::map<connection *, std::unique_ptr<connection>> m_connections;
    common::instant m_now;
};

} // namespace masticlever::frontend
