#pragma once

#include <masticlever/calls/call-client.h>
#include <masticlever/calls/event-stream.h>

#include <QCryptographicHash>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Reads one answer's body and decides whether it is whole.

namespace masticlever::calls::detail
{

inline constexpr std::size_t largestAnswer = 16U << 20U; ///< bytes of a plain answer or of a stream's text
inline constexpr std::size_t largestEvent = 256U << 10U; ///< bytes of one server-sent event

/// A stream of token events with its closing frame.
class stream_answer
{
public:
    explicit stream_answer(std::string callId);

    /// Hands each token's text to \p onText; returns a reason when the answer cannot be whole any more.
    std::optional<drop_reason> feed(std::string_view bytes, const std::function<void(std::string_view)> &onText);
    /// The closing frame was there, and its length and digest are those of the text.
    bool isWhole() const { return m_whole; }

private:
    bool matchesEnd(std::string_view json) const;

    std::string m_callId;
    event_stream_reader m_reader;
    QCryptographicHash m_digest;
    std::size_t m_length = 0;
    bool m_whole = false;
};

bool isJson(std::string_view body);

/// Parses "LOAD;age_ms=N"; false when malformed.
bool parseLoad(std::string_view header, endpoint_report &report);

} // namespace masticlever::calls::detail
