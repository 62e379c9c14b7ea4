#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/time.h>
#include <masticlever/runs/actions.h>

#include <string>
#include <string_view>

/// \file
/// Abstract interface of the client that calls endpoints.

namespace masticlever::calls
{

/// State of an endpoint as reported in the headers of an answer.
struct endpoint_report {
    std::string address;
    std::string incarnation;
    double load = 0; ///< calls running and queued at the endpoint
    common::duration age{}; ///< of the load figure
    bool hasLoad = false;
    bool leaving = false;
};

/// Why an answer was discarded.
enum class drop_reason { wrong_call_id, wrong_digest, cut, too_large };

/// "wrong_call_id", "wrong_digest", "cut" or "too_large".
std::string_view toString(drop_reason reason);

/// Receives answers and reports. Its methods are called from the event loop, never from within a method of the client.
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
    /// Sends \p traceparent as the header of the same name, unless it is empty.
    virtual void send(const runs::send_call &call, std::string_view traceparent) = 0;
    virtual void query(const runs::query_status &query) = 0;
    /// Closes the connection of the call or query; the observer gets nothing more about it.
    virtual void cancel(const common::call_id &id) = 0;
};

} // namespace masticlever::calls
