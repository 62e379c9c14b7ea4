#pragma once

#include "../../tests/site/site-server.h"
#include "record.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// \file
/// Sound engines: a plain service, an engine of stages and a model engine that fetches stage results before it answers.
/// A case replaces single answers by hooks.

namespace review
{

using masticlever::site::exchange_pointer;
using masticlever::site::site_exchange;

/// What a stage result was made for.
struct stage_result {
    std::string requestId;
    int stage = 0;
    int piece = 0;
    std::string maker; ///< id of the engine
    std::chrono::steady_clock::time_point expiresAt;
};

/// The results that all engines hold, by handle. A result ends with its time, its release or its maker.
class result_table
{
public:
    /// The result that \p handle stands for; nullptr if it is gone.
    const stage_result *find(const std::string &handle) const;
    /// The result that \p handle stood for, also if it is gone; nullptr if there was none.
    const stage_result *findEver(const std::string &handle) const;
    void add(const std::string &handle, const stage_result &result);
    void release(const std::string &handle) { m_present.erase(handle); }
    void releaseAll(const std::string &maker);

private:
    std::map<std::string, stage_result> m_present;
    std::map<std::string, stage_result> m_ever;
};

/// A request that an engine has begun to work on.
struct engine_run {
    std::string requestId;
    std::string target;
    std::string tenant;
    std::vector<std::string> inputs;
    std::size_t bodyBytes = 0;
    std::chrono::milliseconds at{}; ///< since the start of the record
};

class engine
{
public:
    enum class kind { plain, stage, model };

    engine(std::string id, kind what, std::string service, result_table &results, record &log);

    /// Starts to listen; returns the address.
    std::string start();
    /// Ends all connections, accepts none and loses all results, as a crash does.
    void crash();
    /// The entry in the platform's store. The sequence number rises with each call.
    std::string entry(const std::string &state = "ready");

    const std::string &id() const { return m_id; }
    const std::string &address() const { return m_address; }

    std::chrono::milliseconds workTime{30}; ///< of a call or request; for streams, the time to the first event
    std::chrono::seconds resultLifetime{4}; ///< after the end of the call
    std::string keepAlive = "timeout=15";
    std::vector<engine_run> runs;
    std::vector<QJsonArray> calls; ///< items of each call for stage results
    /// Replaces the time of one request, if set.
    std::function<std::chrono::milliseconds(const std::string &requestId)> workTimeOf;
    /// Called with each request that this engine accepts; returns true if it has dealt with it.
    std::function<bool(const exchange_pointer &exchange)> onAccepted;
    /// Makes the pieces of a call and returns the items of its answer.
    QJsonArray makePieces(const QJsonArray &items);
    /// Sends the answer to a call for stage results.
    void answerStageCall(const exchange_pointer &exchange, const QJsonArray &items);
    static QJsonArray itemsOf(const exchange_pointer &exchange);

private:
    void onRequest(const exchange_pointer &exchange);
    void onStageCall(const exchange_pointer &exchange);
    void onRelease(const exchange_pointer &exchange);
    void run(const exchange_pointer &exchange);
    void answerPlain(const exchange_pointer &exchange);
    void answerStream(const exchange_pointer &exchange, const std::vector<std::string> &inputs);
    std::vector<masticlever::http1::header_field> fieldsFor(const exchange_pointer &exchange) const;

    std::string m_id;
    kind m_kind;
    std::string m_service;
    result_table &m_results;
    record &m_log;
    std::string m_address;
    std::uint64_t m_bornMs;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastHandle = 0;
    masticlever::site::site_server m_server;
    QObject m_timers; ///< context object of the timers; cancels them on destruction
};

} // namespace review
