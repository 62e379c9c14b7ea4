#pragma once

#include "../../tests/site/site-caller.h"
#include "record.h"

#include <chrono>
#include <string>

/// \file
/// A client that sends one request on a channel of its own and records the answer.

namespace review
{

struct client_request {
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string key = "key-1";
    std::string fields; ///< further header lines, each with its line end
    std::string body = "{}";
    std::chrono::milliseconds timeLimit{8000};
};

class client
{
public:
    client(const std::string &front, client_request request, record &log);

    bool isDone();
    bool isComplete() const { return m_caller.completeAnswers > 0; }
    int status() const { return m_caller.heads.empty() ? 0 : m_caller.heads.front().status; }
    std::string body() const { return m_caller.bodies.empty() ? std::string() : m_caller.bodies.front(); }
    const std::string &id() const { return m_request.id; }
    void leave();
    /// Waits for the answer or the end of the channel, for as long as the request's time limit.
    void wait();

private:
    client_request m_request;
    record &m_log;
    masticlever::site::site_caller m_caller;
    bool m_isRecorded = false;
};

} // namespace review
