#include <masticlever/common/digest.h>
#include <masticlever/configuration/replay.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>

// Cost of replaying the configuration at the target size: processor time for each record, size and time of a
// snapshot record, and resident memory. usage: configuration-bench

using namespace masticlever;
using namespace masticlever::configuration;

namespace
{

constexpr int endpoints = 600;
constexpr int pools = 12;
constexpr int pipelines = 6;
constexpr int stages = 6;
constexpr int teams = 1400;
constexpr int changes = 5000;
constexpr double kibibyte = 1024;

using clock_type = std::chrono::steady_clock;

double secondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

long residentKibibytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

std::string endpointSpec(int index)
{
    const std::string port = std::to_string(1000 + index);
    return R"({"pool":"pool-)" + std::to_string(index % pools) + R"(","address":"127.0.0.1:)" + port
        + R"(","data_centre":"hawick"})";
}

std::string pipelineSpec(int index)
{
    std::string spec = R"({"deadline_ms":4000,"stages":[)";
    for (int i = 0; i < stages; ++i) {
        const std::string separator = i == 0 ? "" : ",";
        const std::string pool = std::to_string((index + i) % pools);
        spec += separator + R"({"name":"stage-)" + std::to_string(i) + R"(","pool":"pool-)" + pool + "\"}";
    }
    return spec + "]}";
}

std::string teamSpec(int index, int weight)
{
    return R"({"pipelines":["pipeline-0","pipeline-1","pipeline-2"],"weight":)" + std::to_string(weight)
        + R"(,"token_digests":[")" + common::sha256Hex(std::to_string(index)) + "\"]}";
}

class log_writer
{
public:
    explicit log_writer(replayer &reader) : m_reader(reader) { }

    void put(resource_kind kind, const std::string &name, std::uint64_t expected, const std::string &spec)
    {
        const std::string id = common::sha256Hex(std::to_string(m_end)).substr(0, idLength);
        append(encodeChange({id, operation::put, kind, name, expected, spec}));
    }

    void append(std::string payload)
    {
        const platform::log_offset offset = m_end++;
        m_reader.onRecords({1, m_end, {{offset, {}, std::move(payload)}}});
    }

private:
    static constexpr std::size_t idLength = 36;

    replayer &m_reader;
    platform::log_offset m_end = 1;
};

void declareAll(log_writer &log)
{
    for (int i = 0; i < endpoints; ++i) {
        log.put(resource_kind::endpoint, "endpoint-" + std::to_string(i), 0, endpointSpec(i));
    }
    for (int i = 0; i < pipelines; ++i) {
        log.put(resource_kind::pipeline, "pipeline-" + std::to_string(i), 0, pipelineSpec(i));
    }
    for (int i = 0; i < teams; ++i) {
        log.put(resource_kind::team, "team-" + std::to_string(i), 0, teamSpec(i, 1));
    }
}

void changeTeams(log_writer &log, const replayer &reader)
{
    for (int i = 0; i < changes; ++i) {
        const std::string name = "team-" + std::to_string(i % teams);
        log.put(resource_kind::team, name, reader.current()->teams.at(name).version, teamSpec(i % teams, 2 + i));
    }
}

} // namespace

int main()
{
    const long before = residentKibibytes();
    replayer reader;
    log_writer log(reader);
    auto start = clock_type::now();
    declareAll(log);
    constexpr int declared = endpoints + pipelines + teams;
    std::printf("declare: %d records, %.2f ms each\n", declared, secondsSince(start) * 1e3 / declared);

    start = clock_type::now();
    changeTeams(log, reader);
    std::printf("change: %d records, %.2f ms each\n", changes, secondsSince(start) * 1e3 / changes);

    start = clock_type::now();
    const std::string encoded = reader.encodeSnapshot();
    std::printf("snapshot: %.0f KiB, encoded in %.1f ms\n", static_cast<double>(encoded.size()) / kibibyte,
                secondsSince(start) * 1e3);

    replayer fresh;
    start = clock_type::now();
    const bool taken = fresh.onPeerState(encoded);
    std::printf("fresh instance: taken %d, in %.1f ms, %zu teams\n", static_cast<int>(taken), secondsSince(start) * 1e3,
                fresh.current()->teams.size());

    start = clock_type::now();
    log.append(encoded);
    std::printf("snapshot record met: %.1f ms, divergences %llu\n", secondsSince(start) * 1e3,
                static_cast<unsigned long long>(reader.counters().divergences));
    std::printf("resident growth: %ld KiB\n", residentKibibytes() - before);
    return taken ? 0 : 1;
}
