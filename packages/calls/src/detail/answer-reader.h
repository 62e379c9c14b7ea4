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
/// Reads the body of an answer and checks that it is complete.

namespace masticlever::calls::detail
{

inline constexpr std::size_t maxAnswerBytes = 16U << 20U; ///< of a plain answer, or of the text of a stream
inline constexpr std::size_t maxEventBytes = 256U << 10U; ///< of one server-sent event

/// An answer sent as a stream of "token" events with a final "end" event.
class stream_answer
{
public:
    explicit stream_answer(std::string callId);

    /// Passes the text of each token to \p onText. Returns a reason once the answer is known to be invalid.
    std::optional<drop_reason> feed(std::string_view bytes, const std::function<void(std::string_view)> &onText);
    /// Whether the end event has arrived; its length and digest matched the text.
    bool isComplete() const { return m_complete; }

private:
    bool matchesEndEvent(std::string_view json) const;

    std::string m_callId;
    event_stream_reader m_reader;
    QCryptographicHash m_digest;
    std::size_t m_length = 0;
    bool m_complete = false;
};

bool isJson(std::string_view body);

/// Parses "LOAD;age_ms=N"; false when malformed.
bool parseLoad(std::string_view header, endpoint_report &report);

} // namespace masticlever::calls::detail
