#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/time.h>
#include <masticlever/runs/actions.h>

#include <string>
#include <string_view>

/// \file
/// Calls to endpoints, seen as an abstract interface.

namespace masticlever::calls
{

/// What an answer's headers say of its endpoint.
struct endpoint_report {
    std::string address;
    std::string incarnation;
    double load = 0; ///< calls running and queued there
    common::duration age{}; ///< of the load figure
    bool hasLoad = false;
    bool leaving = false;
};

/// Why an answer was not passed on.
enum class drop_reason { wrong_call_id, wrong_digest, cut, too_large };

/// "wrong_call_id", "wrong_digest", "cut" or "too_large".
std::string_view toString(drop_reason reason);

/// Receives what comes back. Calls arrive from the event loop, never from inside a method of the client.
class call_observer
{
public:
    virtual ~call_observer() = default;
    virtual void onCallText(const common::call_id &id, std::string_view text) = 0;
    virtual void onCallEnded(const common::call_id &id, const runs::call_end &ended) = 0;
    virtual void onEndpointReport(const endpoint_report &report) = 0;
    virtual void onAnswerDropped(drop_reason reason) = 0;
};

class call_client
{
public:
    virtual ~call_client() = default;
    /// \p traceparent goes out as the header of this name; empty: none.
    virtual void send(const runs::send_call &call, std::string_view traceparent) = 0;
    virtual void query(const runs::query_status &query) = 0;
    /// Closes the call's connection; nothing is reported of it any more.
    virtual void cancel(const common::call_id &id) = 0;
};

} // namespace masticlever::calls
