#include "client.h"

#include "deployment.h"

#include <algorithm>
#include <utility>

namespace review
{

client::client(const std::string &front, client_request request, record &log)
    : m_request(std::move(request)), m_log(log), m_caller(front)
{
    m_log.add("client sends " + m_request.id + " to " + front + m_request.path);
    m_caller.send(m_request.method + " " + m_request.path + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: "
                  + m_request.id + "\r\nDeadline-Ms: " + std::to_string(m_request.timeLimit.count())
                  + "\r\nAuthorization: Bearer " + m_request.key + "\r\n" + m_request.fields
                  + "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n\r\n" + m_request.body);
}

bool client::isDone()
{
    const bool isAnswered = isComplete() || m_caller.isClosed;
    if (isAnswered && !m_isRecorded) {
        m_isRecorded = true;
        std::string text = body();
        std::ranges::replace(text, '\n', ' ');
        m_log.add("client has the answer to " + m_request.id + ": " + std::to_string(status())
                  + (isComplete() ? " " : " (incomplete) ") + text);
    }
    return isAnswered;
}

void client::leave()
{
    m_log.add("client of " + m_request.id + " closes its channel");
    m_caller.disconnect();
}

void client::wait()
{
    waitFor([this] { return isDone(); }, m_request.timeLimit);
}

} // namespace review
