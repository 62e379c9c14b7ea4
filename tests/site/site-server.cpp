#include "site-server.h"

#include <QTimer>

#include <utility>

namespace masticlever::site
{

namespace
{

constexpr http1::reader_limits limits{65536, std::uint64_t{16} * 1024 * 1024};
constexpr int backlog = 128;

} // namespace

void site_exchange::answer(int status, std::string_view body, const std::vector<http1::header_field> &fields)
{
    http1::message_head answer;
    answer.status = status;
    answer.fields = fields;
    answer.fields.push_back({"Content-Length", std::to_string(body.size())});
    write(http1::answerText(answer) + std::string(body));
}

void site_exchange::answerAs(std::string_view status, std::string_view body,
                             const std::vector<http1::header_field> &fields)
{
    std::string text = "HTTP/1.1 " + std::string(status) + "\r\n";
    for (const http1::header_field &field : fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
}

std::string site_exchange::path() const
{
    return head().target.substr(0, head().target.find('?'));
}

std::string site_exchange::query(std::string_view name) const
{
    const std::string &target = head().target;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', ++begin);
        const std::string item = target.substr(begin, end == std::string::npos ? end : end - begin);
        if (item.starts_with(std::string(name) + '=')) {
            return item.substr(name.size() + 1);
        }
        begin = end;
    }
    return {};
}

std::string site_exchange::field(std::string_view name) const
{
    const std::string *found = head().find(name);
    return found == nullptr ? std::string() : *found;
}

class site_server::connection final : public std::enable_shared_from_this<connection>,
                                      private net::socket_handler,
                                      private http1::message_sink
{
public:
    connection(site_server &server, int descriptor)
        : m_server(server), m_number(server.accepted()), m_socket(net::stream_socket::adopt(descriptor, {}, *this)),
          m_reader(http1::message_kind::request, limits, *this)
    { }

    void write(std::string_view bytes) { m_socket->write(bytes); }
    void closeWhenSent() { m_socket->closeWhenSent(); }
    bool isOpen() const { return m_isOpen; }
    std::size_t unsentBytes() const { return m_socket->unsentBytes(); }

    void end()
    {
        m_isOpen = false;
        m_socket->abort();
    }

private:
    class exchange final : public site_exchange
    {
    public:
        exchange(std::weak_ptr<connection> owner, std::size_t number, http1::message_head head, std::string body)
            : m_owner(std::move(owner)), m_number(number), m_head(std::move(head)), m_body(std::move(body))
        { }

        const http1::message_head &head() const override { return m_head; }
        const std::string &body() const override { return m_body; }
        void write(std::string_view bytes) override
        {
            if (const auto owner = m_owner.lock()) {
                owner->write(bytes);
            }
        }
        void reset() override
        {
            if (const auto owner = m_owner.lock()) {
                owner->end();
            }
        }
        void closeWhenSent() override
        {
            if (const auto owner = m_owner.lock()) {
                owner->closeWhenSent();
            }
        }
        bool isOpen() const override
        {
            const auto owner = m_owner.lock();
            return owner && owner->isOpen();
        }
        std::size_t connectionNumber() const override { return m_number; }
        std::size_t unsentBytes() const override
        {
            const auto owner = m_owner.lock();
            return owner ? owner->unsentBytes() : 0;
        }

    private:
        std::weak_ptr<connection> m_owner;
        std::size_t m_number;
        http1::message_head m_head;
        std::string m_body;
    };

    void onBytes(std::string_view bytes) override { abortOnError(m_reader.feed(bytes)); }
    void onClosed(net::close_reason /*reason*/) override
    {
        m_isOpen = false;
        QTimer::singleShot(0, m_socket.get(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_server.m_connections.erase(self.get());
            }
        });
    }
    void onHead(http1::message_head head) override
    {
        m_head = std::move(head);
        if (m_server.m_onHead
            && m_server.m_onHead(std::make_shared<exchange>(weak_from_this(), m_number, m_head, std::string()))) {
            m_isRequestTaken = true;
            m_socket->setReading(false);
        }
    }
    void onBody(std::string_view bytes) override { m_body += bytes; }

    void onEnd() override
    {
        auto request
            = std::make_shared<exchange>(weak_from_this(), m_number, std::move(m_head), std::exchange(m_body, {}));
        m_head = {};
        if (m_isRequestTaken) {
            return;
        }
        m_server.m_handler(std::move(request));
        abortOnError(m_reader.next());
    }

    void abortOnError(std::error_code failure)
    {
        if (failure) {
            end();
        }
    }

    site_server &m_server;
    std::size_t m_number;
    net::stream_socket::pointer m_socket;
    http1::message_reader m_reader;
    http1::message_head m_head;
    std::string m_body;
    bool m_isOpen = true;
    bool m_isRequestTaken = false; ///< by the handler of heads
};

site_server::site_server(request_handler handler, head_handler onHead)
    : m_handler(std::move(handler)), m_onHead(std::move(onHead))
{ }

site_server::~site_server() = default;

std::string site_server::listen(std::uint16_t port)
{
    constexpr std::uint32_t loopback = 0x7f000001;
    m_listener = std::make_unique<net::listener>([this](int descriptor) {
        ++m_accepted;
        auto accepted = std::make_shared<connection>(*this, descriptor);
        m_connections.emplace(accepted.get(), accepted);
    });
    const auto bound = m_listener->listen({loopback, port}, backlog);
    return bound ? "127.0.0.1:" + std::to_string(bound.value()) : std::string();
}

void site_server::stop()
{
    m_listener.reset();
    for (const auto &[raw, owned] : m_connections) {
        raw->end();
    }
}

} // namespace masticlever::site
