#pragma once

#include "site-caller.h"
#include "site-server.h"

#include <QObject>
#include <QProcess>
#include <QTemporaryDir>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// A small deployment on loopback: a stand-in of the platform's store, and the project's daemons as processes, started
/// with the command of the deploy file and settings filled in from its template.

namespace review
{

using masticlever::site::exchange_pointer;
using masticlever::site::site_caller;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the time since the start, to the file named on the command line.
class event_record
{
public:
    explicit event_record(const std::string &path) : m_file(path, std::ios::trunc) { }
    void add(const std::string &line);
    /// Milliseconds since the start.
    std::int64_t elapsed() const;

private:
    std::ofstream m_file;
    clock::time_point m_startedAt = clock::now();
};

/// Stand-in of the platform's store: topics with keys and one partition each.
class store
{
public:
    store();
    /// Returns "IP:port".
    std::string start() { return m_server.listen(); }
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

private:
    struct item {
        std::string key;
        std::optional<std::string> value;
    };
    struct waiting_read {
        exchange_pointer exchange;
        std::string topic;
        std::uint64_t from = 0;
    };

    void onRequest(const exchange_pointer &exchange);
    void onRead(const exchange_pointer &exchange, const std::string &topic);
    void onNewest(const exchange_pointer &exchange, const std::string &topic);
    void onAppend(const exchange_pointer &exchange, const std::string &topic);
    void answerRead(const exchange_pointer &exchange, const std::string &topic, std::uint64_t from);

    masticlever::site::site_server m_server;
    QObject m_timers; ///< context object of the timers
    std::map<std::string, std::vector<item>> m_topics;
    std::list<waiting_read> m_reads;
};

class deployment
{
public:
    deployment(const std::string &recordPath, std::size_t daemons);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// Writes the configuration of the operator. Call before start().
    void configure(const std::string &configuration) { platformStore.put("keyed.op", "config", configuration); }
    /// Starts the daemons and waits until all are ready; returns false on timeout.
    bool start();
    const std::string &frontOf(std::size_t daemon) const { return m_daemons[daemon].front; }
    std::int64_t processIdOf(std::size_t daemon) const { return m_daemons[daemon].process->processId(); }
    bool isRunning(std::size_t daemon) const;
    /// Starts a daemon again that has ended.
    void restart(std::size_t daemon) { startDaemon(daemon); }
    void signal(std::size_t daemon, int number);
    /// Memory of a daemon in bytes at its peak; 0 if it has ended.
    std::size_t peakMemoryOf(std::size_t daemon) const;

    event_record record;
    store platformStore;
    std::string dataCentre = "west";
    int memoryMegabytes = 182;

private:
    struct daemon {
        std::string front;
        std::string ready;
        QString settings;
        std::unique_ptr<QProcess> process;
    };

    void startDaemon(std::size_t index);
    std::string filledTemplate(std::size_t index) const;

    QTemporaryDir m_folder;
    std::string m_storeAddress;
    std::string m_network;
    std::vector<daemon> m_daemons;
};

/// Runs the event loop until \p condition holds or \p limit has passed; returns whether it holds.
bool waitFor(const std::function<bool()> &condition, milliseconds limit);
/// Runs the event loop for \p time.
void pass(milliseconds time);
/// Whether the disruption is to be played: not with TROUBLE=0 in the environment.
bool hasTrouble();
/// Text of a request with a Content-Length.
std::string requestText(std::string_view method, std::string_view path, std::string_view id, std::string_view fields,
                        std::string_view body);

/// Exit codes of a trial.
enum class verdict { held = 0, broken = 1, not_run = 2 };

} // namespace review
