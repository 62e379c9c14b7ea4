#pragma once

#include "deployment.h"

#include <deque>
#include <set>

/// \file
/// Stand-ins of the platform's engines: plain services, model engines, and engines that make stage results.

namespace review
{

/// A result of a stage, by its handle in result_table.
struct stage_result {
    std::string requestId;
    std::size_t stage = 0;
    std::size_t piece = 0;
    clock::time_point until; ///< it is dropped then
};

/// Results that lie at all stage engines. Engines look up here what they would fetch from one another.
using result_table = std::map<std::string, stage_result>;

/// Registers itself in the store, and answers as its subclass decides.
class engine
{
public:
    engine(deployment &site, std::string id, std::string service);
    virtual ~engine() = default;
    engine(const engine &) = delete;
    engine &operator=(const engine &) = delete;

    void start();
    /// Ends all connections and refuses new ones for \p time; the entry in the store stays as long as it lives there.
    void crashFor(milliseconds time);
    const std::string &id() const { return m_id; }

    std::map<std::string, int> runs; ///< by request id

protected:
    /// Handles a request that is meant for this engine and is neither a health probe nor a question for its report.
    virtual void onRequest(const exchange_pointer &exchange) = 0;
    /// Body of the answer to GET /masticlever/report; empty if the engine has none.
    virtual std::string report() const { return {}; }

    /// Fields of an answer to \p requestId; with a digest if \p isSigned.
    std::vector<masticlever::http1::header_field> answerFields(const std::string &requestId, bool isSigned) const;

    deployment &m_site;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    QObject m_timers; ///< context object of the timers

private:
    void checkIn();
    void dispatch(const exchange_pointer &exchange);

    masticlever::site::site_server m_server;
    std::uint64_t m_sequence = 0;
    double m_bornMs = 1790000000000; ///< start time, which identifies an incarnation
    bool m_isCrashed = false;
};

/// A service without stages. It runs each request for \c serviceTime.
class plain_engine : public engine
{
public:
    using engine::engine;

    milliseconds serviceTime{30};
    /// Status of the answer to a request that has run; 200 unless the trial sets another one.
    std::function<int(const std::string &requestId)> statusOf = [](const std::string &) { return 200; };

private:
    void onRequest(const exchange_pointer &exchange) override;
};

/// Streams events after it has read the inputs of a request.
class model_engine : public engine
{
public:
    model_engine(deployment &site, std::string id, std::string service, result_table &results)
        : engine(site, std::move(id), std::move(service)), m_results(results)
    { }

    milliseconds prefillTime{400};
    milliseconds eventInterval{40};
    std::size_t events = 8;
    /// The number of events after which the stream of this request breaks off; 0: it does not.
    std::function<std::size_t(const std::string &requestId)> breakAfter = [](const std::string &) { return 0; };
    std::size_t foreignInputs = 0; ///< inputs of requests that ran, made for another request

private:
    void onRequest(const exchange_pointer &exchange) override;
    std::string report() const override;
    void sendEvent(const exchange_pointer &exchange, std::size_t number, std::size_t lastBeforeBreak);

    result_table &m_results;
};

struct stage_limits {
    std::size_t batch = 8;
    milliseconds callTime{200};
    std::chrono::microseconds pieceTime{21000};
    std::size_t queue = 2;
    std::chrono::seconds resultLifetime{4};
};

/// Makes results of stages, one call after the other.
class stage_engine : public engine
{
public:
    stage_engine(deployment &site, std::string id, std::string service, stage_limits limits, result_table &results)
        : engine(site, std::move(id), std::move(service)), m_limits(limits), m_results(results)
    { }

    std::function<bool()> failsPieces = [] { return false; }; ///< asked for each piece, which gets the reason "error"
    /// Whether a second copy of the answer that was just sent follows, late: before the next answer on its connection.
    std::function<bool()> repeatsAnswer = [] { return false; };
    /// Whether a call with a piece of the request was in progress or waiting here during the last \p time.
    bool hasWorkedOn(const std::string &requestId, milliseconds time) const;

    std::size_t repeatedAnswers = 0;

private:
    void onRequest(const exchange_pointer &exchange) override;
    std::string report() const override;
    std::string load() const;
    void startCall();
    void endCall();
    std::string makeResults(const exchange_pointer &exchange);

    stage_limits m_limits;
    result_table &m_results;
    std::deque<exchange_pointer> m_calls; ///< the first one is in progress
    std::uint64_t m_lastResult = 0;
    std::map<std::string, clock::time_point> m_workedUntil; ///< end of the last call by request id
    /// Extra answers, with the id that they echo, by the number of their connection.
    std::map<std::size_t, std::pair<std::string, std::string>> m_lateAnswers;
};

} // namespace review
