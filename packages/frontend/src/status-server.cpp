#include "status-server.h"

#include <algorithm>
#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr int backlog = 32;
constexpr std::size_t connectionLimit = 64;
constexpr std::size_t receiveBuffer = 16384; ///< more than one request
constexpr common::duration idleLimit = std::chrono::seconds(30);
constexpr http1::reader_limits limits{8192, 0};
constexpr net::socket_options socketOptions{std::chrono::milliseconds(5000), std::chrono::seconds(5)};

} // namespace

class status_server::connection final : private net::socket_handler, private http1::message_sink
{
public:
    connection(int descriptor, const answer_function &answer, common::instant now)
        : m_answer(answer), m_socket(net::stream_socket::adopt(descriptor, socketOptions, *this)),
          m_reader(http1::message_kind::request, limits, *this), m_now(now), m_lastReadAt(now)
    { }

    bool isGone() const { return m_isGone || m_now - m_lastReadAt > idleLimit; }
    void setNow(common::instant now) { m_now = now; }
    common::instant lastReadAt() const { return m_lastReadAt; }

private:
    void onBytes(std::string_view bytes) override
    {
        m_lastReadAt = m_now;
        m_hasFailed = m_hasFailed || m_reader.feed(bytes);
        answerRequests();
    }
    void onDrained() override { answerRequests(); }
    void onClosed(net::close_reason /*reason*/) override { m_isGone = true; }
    void onHead(http1::message_head head) override { m_head = std::move(head); }
    void onBody(std::string_view /*bytes*/) override { }
    void onEnd() override { }

    /// Answers requests while their answers are read. Nothing is read from a caller that leaves them unread.
    void answerRequests()
    {
        while (!m_hasFailed && m_reader.isEnded() && m_socket->unsentBytes() == 0) {
            answerRequest();
            m_hasFailed = !m_head.keepAlive || m_reader.next();
        }
        if (m_hasFailed) {
            m_socket->closeWhenSent();
        } else {
            m_socket->setReading(m_socket->unsentBytes() == 0);
        }
    }

    void answerRequest()
    {
        const status_answer answer = m_answer(m_head);
        http1::message_head head;
        head.status = answer.status;
        head.fields.push_back({"Content-Type", answer.contentType});
        head.fields.push_back({"Content-Length", std::to_string(answer.body.size())});
        if (!m_head.keepAlive) {
            head.fields.push_back({"Connection", "close"});
        }
        m_socket->write(http1::answerText(head) + answer.body);
    }

    const answer_function &m_answer;
    net::stream_socket::pointer m_socket;
    http1::message_reader m_reader;
    http1::message_head m_head;
    common::instant m_now;
    common::instant m_lastReadAt;
    bool m_hasFailed = false; ///< nothing more is read
    bool m_isGone = false;
};

status_server::status_server(answer_function answer) : m_answer(std::move(answer)) { }

status_server::~status_server() = default;

bool status_server::listen(const std::string &address)
{
    const auto parsed = net::parseAddress(address);
    if (!parsed) {
        return false;
    }
    auto added = std::make_unique<net::listener>([this](int descriptor) {
        auto accepted = std::make_unique<connection>(descriptor, m_answer, m_now);
        connection *raw = accepted.get();
        if (m_connections.size() >= connectionLimit) {
            // In place of the new one, so that checks get through however many connections are kept open.
            m_connections.erase(
                std::ranges::min_element(m_connections, {}, [](const auto &item) { return item.first->lastReadAt(); }));
        }
        m_connections.emplace(raw, std::move(accepted));
    });
    if (!added->listen(parsed.value(), backlog, receiveBuffer)) {
        return false;
    }
    m_listeners.push_back(std::move(added));
    return true;
}

void status_server::onTick(common::instant now)
{
    m_now = now;
    std::erase_if(m_connections, [&](const auto &item) {
        item.first->setNow(now);
        return item.first->isGone();
    });
}

} // namespace masticlever::frontend
