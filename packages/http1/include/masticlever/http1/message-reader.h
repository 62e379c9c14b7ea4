#pragma once

#include <masticlever/common/result.h>
#include <masticlever/http1/message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

/// \file
/// Parses HTTP/1.1 messages from a byte stream, one after the other, with Boost.Beast. Rejects messages with ambiguous
/// framing, which another parser could split differently (request smuggling).

namespace masticlever::http1
{

/// Receives the parts of a message in order.
class message_sink
{
public:
    virtual ~message_sink() = default;
    virtual void onHead(message_head head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
};

struct reader_limits {
    std::size_t headBytes = 16384;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
};

enum class message_kind { request, answer };

class message_reader
{
public:
    /// \p sink must outlive the reader.
    message_reader(message_kind kind, reader_limits limits, message_sink &sink);
    ~message_reader();
    message_reader(const message_reader &) = delete;
    message_reader &operator=(const message_reader &) = delete;

    /// Parses more bytes. Stops after a complete message and keeps the remaining bytes for next(). After
    /// error::malformed or error::too_large the connection must be closed.
    std::error_code feed(std::string_view bytes);
    /// Handles an orderly close by the peer; returns error::malformed when it truncates a message.
    std::error_code finish();
    /// Continues with the message after the one that has ended; its bytes may already be buffered.
    std::error_code next();

    /// The next response is to a HEAD request and has no body.
    void expectNoBody() { m_isBodyExpected = false; }

    bool isEnded() const { return m_isEnded; } ///< a complete message was read and next() was not called yet
    bool isUntouched() const; ///< no byte of the current message has been received
    bool hasHead() const { return m_hasHead; }
    /// The status line of a response whose status is none of 100 to 599, after error::malformed; empty otherwise.
    const std::string &invalidStatusLine() const { return m_invalidStatusLine; }
    bool isBodyTooLarge() const { return m_isBodyTooLarge; } ///< after error::too_large
    std::size_t pendingBytes() const { return m_pending.size() - m_parsed; } ///< read but not parsed
    std::size_t allocatedBytes() const { return m_pending.capacity(); } ///< for bytes that are read but not parsed

private:
    class parser;
    template <bool isRequest> class beast_parser;

    std::error_code advance();
    void dropParsed();
    void createParser();

    message_kind m_kind;
    reader_limits m_limits;
    message_sink &m_sink;
    std::unique_ptr<parser> m_parser;
    std::string m_pending;
    std::size_t m_parsed = 0; ///< bytes at the front of m_pending that are parsed already
    bool m_isEnded = false;
    bool m_hasHead = false;
    bool m_isStarted = false;
    bool m_isBodyExpected = true;
    bool m_isBodyTooLarge = false;
    std::string m_invalidStatusLine;
    std::size_t m_interimResponses = 0; ///< before the current response
};

} // namespace masticlever::http1
