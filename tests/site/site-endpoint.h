#pragma once

#include "site-server.h"

#include <QObject>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// Stand-in for an endpoint of the platform: a plain service, a model engine that streams, or a maker of stage
/// results; with the faults that the platform's endpoints have.

namespace masticlever::site
{

struct endpoint_behaviour {
    enum class fault {
        none,
        reject, ///< 503 that proves the request has not run
        error, ///< 500 of its own
        reset_after_reading, ///< runs the request and resets the connection
        cut_body, ///< half of the body, then an orderly close
        cut_event, ///< a stream that breaks off in the middle of an event
        unframed, ///< an answer without a length
        unframed_reset, ///< the same, reset before its end
        extra_answer, ///< a second answer, of another request, after the own one
        stale_answer, ///< an answer of another request first
        unsigned_answer, ///< a success without a digest
        garbage, ///< bytes that are no answer
        silent, ///< takes requests and answers nothing
        gone_inputs, ///< says that an input is gone, as not run
        endless_head, ///< fields without end
        endless_interim, ///< announcements of an answer without end
        endless_body, ///< a length that is never reached
        endless_chunks,
        endless_extension, ///< a chunk whose head does not end
        endless_unframed, ///< a body without a length
        endless_event, ///< a stream with an event that does not end
        endless_rejection, ///< proves that the request has not run, in a body without end
        endless_tail, ///< more bytes after a whole answer
    };

    fault kind = fault::none;
    std::size_t times = 1000000; ///< requests that meet the fault
    std::chrono::milliseconds work{1};
    std::size_t events = 4; ///< of a stream
    std::chrono::milliseconds gap{1}; ///< between events
    std::string keepAlive = "timeout=5";
    bool isLeaving = false; ///< says so in all answers
    std::string retryAfter; ///< of a rejection; empty: none
};

class site_endpoint
{
public:
    enum class kind { plain, model, stage };

    site_endpoint(std::string id, kind what, std::string service, std::string dataCentre);

    /// Returns "IP:port".
    std::string start(std::uint16_t port = 0);
    void stop() { m_server.stop(); }
    /// Address by which it is known, when it is not its own.
    void setPublicAddress(std::string address) { m_publicAddress = std::move(address); }
    /// Value of its registration in the store.
    std::string registration(const std::string &state = "ready") const;
    std::uint64_t bornMs = 1700000000000; ///< tells its incarnations apart

    endpoint_behaviour behaviour;
    std::map<std::string, int> runs; ///< by request id
    std::vector<std::string> heads; ///< texts of the requests that ran
    std::vector<std::string> bodies;
    std::vector<std::size_t> calls; ///< pieces of each call for stage results
    std::set<std::string> results; ///< handles that are held
    std::size_t badCalls = 0; ///< requests that the platform's rules forbid
    std::size_t rejections = 0;
    std::size_t endlessBytes = 0; ///< sent by the faults without end
    std::size_t open = 0; ///< requests under way
    std::size_t dropped = 0; ///< requests whose caller left before their end

    const std::string &id() const { return m_id; }
    const std::string &address() const { return m_address; }
    std::size_t connections() const { return m_server.accepted(); }

private:
    const std::string &publicAddress() const { return m_publicAddress.empty() ? m_address : m_publicAddress; }
    void onRequest(const exchange_pointer &exchange);
    void onStageRun(const exchange_pointer &exchange);
    void onStageFree(const exchange_pointer &exchange);
    void run(const exchange_pointer &exchange);
    void answerPlain(const exchange_pointer &exchange, endpoint_behaviour::fault fault);
    void stream(const exchange_pointer &exchange, endpoint_behaviour::fault fault);
    void sendEvent(const exchange_pointer &exchange, std::size_t number, endpoint_behaviour::fault fault);
    bool beginEndless(const exchange_pointer &exchange, endpoint_behaviour::fault fault);
    void sendEndless(const exchange_pointer &exchange, const std::string &bytes);
    std::vector<http1::header_field> rejectionFields() const;
    endpoint_behaviour::fault takeFault();
    std::vector<http1::header_field> answerFields(const std::string &requestId) const;

    std::string m_id;
    kind m_kind;
    std::string m_service;
    std::string m_dataCentre;
    std::string m_address;
    std::string m_publicAddress;
    site_server m_server;
    QObject m_timers; ///< context of the timers, which end with it
    std::uint64_t m_lastResult = 0;
};

} // namespace masticlever::site
