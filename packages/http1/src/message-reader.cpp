#include <masticlever/common/errors.h>
#include <masticlever/http1/message-reader.h>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace masticlever::http1
{

namespace beast = boost::beast;
using boost::system::error_code;

namespace
{

constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200; // a 1xx response is followed by another response
constexpr int lastStatus = 599; // RFC 9110, 15: others are invalid
constexpr std::size_t maximumReasonBytes = 64; ///< kept of an invalid status line, for logs
constexpr std::size_t maximumInterimResponses = 16; ///< before one final response
constexpr std::size_t keptCapacityBytes = 16384; ///< of the buffer, once no more bytes than these are left in it
constexpr std::size_t unparsedAllowance = 4096; ///< beyond the head limit: a chunk header and its line ends

bool isControl(char c)
{
    const auto value = static_cast<unsigned char>(c);
    return (value < 0x20 && c != '\t') || value == 0x7f;
}

} // namespace

/// Common interface of the request and response parsers.
class message_reader::parser
{
public:
    virtual ~parser() = default;
    virtual std::size_t put(std::string_view bytes, error_code &failure) = 0;
    virtual void putEnd(error_code &failure) = 0;
    virtual bool isDone() const = 0;
    virtual bool isInterim() const = 0;
};

template <bool isRequest>
class message_reader::beast_parser : public message_reader::parser, private beast::http::basic_parser<isRequest>
{
    using base = beast::http::basic_parser<isRequest>;

public:
    explicit beast_parser(message_reader &owner) : m_owner(owner)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(owner.m_limits.headBytes));
        this->body_limit(owner.m_limits.bodyBytes);
        this->skip(!owner.m_isBodyExpected);
    }

    std::size_t put(std::string_view bytes, error_code &failure) override
    {
        return base::put(boost::asio::const_buffer(bytes.data(), bytes.size()), failure);
    }
    void putEnd(error_code &failure) override { base::put_eof(failure); }
    bool isDone() const override { return base::is_done(); }
    bool isInterim() const override { return m_isInterim; }

private:
    void on_request_impl(beast::http::verb /*verb*/, beast::string_view method, beast::string_view target, int version,
                         error_code & /*failure*/) override
    {
        m_head.method.assign(method.data(), method.size());
        m_head.target.assign(target.data(), target.size());
        m_head.isVersion11 = version >= 11;
    }

    void on_response_impl(int code, beast::string_view reason, int version, error_code &failure) override
    {
        if (code < firstStatus || code > lastStatus) {
            const std::string digits = std::to_string(code);
            m_owner.m_invalidStatusLine = version >= 11 ? "HTTP/1.1 " : "HTTP/1.0 ";
            m_owner.m_invalidStatusLine.append(3 - digits.size(), '0').append(digits).append(" ");
            m_owner.m_invalidStatusLine.append(reason.data(), std::min(reason.size(), maximumReasonBytes));
            failure = make_error_code(beast::http::error::bad_status);
            return;
        }
        m_head.status = code;
        m_head.reason.assign(reason.data(), reason.size());
        m_head.isVersion11 = version >= 11;
    }

    void on_field_impl(beast::http::field /*field*/, beast::string_view name, beast::string_view value,
                       error_code &failure) override
    {
        if (m_isHeadDone) {
            return; // trailers are dropped
        }
        if (std::any_of(value.begin(), value.end(), isControl)) {
            failure = make_error_code(beast::http::error::bad_value);
            return;
        }
        m_head.fields.push_back({{name.data(), name.size()}, {value.data(), value.size()}});
    }

    void on_header_impl(error_code &failure) override
    {
        m_isHeadDone = true;
        m_head.keepAlive = this->keep_alive();
        if (!isFramingUnambiguous()) {
            failure = make_error_code(beast::http::error::bad_transfer_encoding);
            return;
        }
        m_isInterim = !isRequest && m_head.status < firstFinalStatus;
        if (m_isInterim) {
            return;
        }
        m_head.framing = framing();
        m_owner.m_hasHead = true;
        m_owner.m_sink.onHead(std::move(m_head));
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, error_code & /*failure*/) override { }

    std::size_t on_body_impl(beast::string_view body, error_code & /*failure*/) override
    {
        m_owner.m_sink.onBody({body.data(), body.size()});
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              error_code & /*failure*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body, error_code &failure) override
    {
        return on_body_impl(body, failure);
    }

    void on_finish_impl(error_code & /*failure*/) override { }

    /// Returns false for any transfer coding but a single "chunked" and for several lengths, since another parser could
    /// frame such a message differently.
    bool isFramingUnambiguous() const
    {
        std::size_t codings = 0;
        std::size_t lengths = 0;
        for (const header_field &field : m_head.fields) {
            if (equalNames(field.name, "Transfer-Encoding")) {
                ++codings;
                if (!equalNames(field.value, "chunked")) {
                    return false;
                }
            }
            if (equalNames(field.name, "Content-Length")) {
                ++lengths;
                if (field.value.find_first_not_of("0123456789") != std::string::npos) {
                    return false; // a list of lengths, even if they are equal
                }
            }
        }
        return codings + lengths <= 1;
    }

    body_framing framing()
    {
        if (this->chunked()) {
            return body_framing::chunked;
        }
        if (const auto length = this->content_length()) {
            m_head.length = *length;
            return body_framing::length;
        }
        if (!isRequest && this->need_eof()) {
            m_head.keepAlive = false;
            return body_framing::until_close;
        }
        return body_framing::none;
    }

    message_reader &m_owner;
    message_head m_head;
    bool m_isHeadDone = false;
    bool m_isInterim = false;
};

message_reader::message_reader(message_kind kind, reader_limits limits, message_sink &sink)
    : m_kind(kind), m_limits(limits), m_sink(sink)
{ }

message_reader::~message_reader() = default;

bool message_reader::isUntouched() const
{
    return !m_isStarted && pendingBytes() == 0;
}

void message_reader::createParser()
{
    if (m_kind == message_kind::request) {
        m_parser = std::make_unique<beast_parser<true>>(*this);
    } else {
        m_parser = std::make_unique<beast_parser<false>>(*this);
    }
    m_isEnded = false;
    m_hasHead = false;
    m_isStarted = false;
}

std::error_code message_reader::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    return advance();
}

std::error_code message_reader::next()
{
    m_parser.reset();
    m_isBodyExpected = true;
    m_isEnded = false;
    m_hasHead = false;
    m_isStarted = false;
    return advance();
}

std::error_code message_reader::finish()
{
    if (m_isEnded || !m_isStarted) {
        return {};
    }
    error_code failure;
    m_parser->putEnd(failure);
    if (failure || !m_parser->isDone() || m_parser->isInterim()) {
        return make_error_code(common::error::malformed);
    }
    m_isEnded = true;
    m_sink.onEnd();
    return {};
}

/// Moves the rest to the front only when it is the smaller part, so that the time for many short messages that arrive
/// together grows with their size.
void message_reader::dropParsed()
{
    if (m_parsed < m_pending.size() - m_parsed) {
        return;
    }
    m_pending.erase(0, m_parsed);
    m_parsed = 0;
    if (m_pending.size() <= keptCapacityBytes && m_pending.capacity() > keptCapacityBytes) {
        // Each connection would keep the memory of its largest read, also one that waits for the rest of a chunk
        // header.
        m_pending.shrink_to_fit();
    }
}

std::error_code message_reader::advance()
{
    while (!m_isEnded && pendingBytes() > 0) {
        if (!m_parser) {
            createParser();
        }
        m_isStarted = true;
        error_code failure;
        const std::size_t consumed = m_parser->put(std::string_view(m_pending).substr(m_parsed), failure);
        m_parsed += consumed;
        dropParsed();
        if (failure && failure != beast::http::error::need_more) {
            m_isBodyTooLarge = failure == beast::http::error::body_limit;
            const bool isTooLarge = failure == beast::http::error::header_limit || m_isBodyTooLarge;
            return make_error_code(isTooLarge ? common::error::too_large : common::error::malformed);
        }
        if (m_parser->isDone()) {
            if (m_parser->isInterim()) {
                m_parser.reset();
                if (++m_interimResponses > maximumInterimResponses) {
                    return make_error_code(common::error::too_large);
                }
                continue;
            }
            m_interimResponses = 0;
            m_isEnded = true;
            m_sink.onEnd();
        } else if (consumed == 0 || failure) {
            break;
        }
    }
    // Body bytes are consumed as they arrive. Unparsed bytes belong to a head or a chunk header, whose size is limited.
    const bool isHeadTooLarge = !m_isEnded && pendingBytes() > m_limits.headBytes + unparsedAllowance;
    return isHeadTooLarge ? make_error_code(common::error::too_large) : std::error_code{};
}

} // namespace masticlever::http1
