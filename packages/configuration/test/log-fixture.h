#pragma once

#include <masticlever/configuration/replay.h>

#include <string>
#include <utility>
#include <vector>

/// \file
/// An in-memory log with retention, and helpers that build changes.

namespace masticlever::configuration::test
{

class memory_log
{
public:
    platform::log_offset append(std::string payload)
    {
        m_records.push_back({end(), {}, std::move(payload)});
        return m_records.back().offset;
    }

    platform::log_batch read(platform::log_offset from, std::size_t limit = 1000) const
    {
        platform::log_batch batch{m_head, end(), {}};
        for (const auto &record : m_records) {
            if (record.offset >= std::max(from, m_head) && batch.records.size() < limit) {
                batch.records.push_back(record);
            }
        }
        return batch;
    }

    void dropBelow(platform::log_offset head) { m_head = std::max(m_head, std::min(head, end())); }
    platform::log_offset head() const { return m_head; }
    platform::log_offset end() const { return m_records.size() + 1; }
    const std::vector<platform::log_record> &records() const { return m_records; }

private:
    std::vector<platform::log_record> m_records;
    platform::log_offset m_head = 1;
};

inline replay_state readAll(replayer &reader, const memory_log &log)
{
    return reader.onRecords(log.read(reader.nextOffset()));
}

inline change putEndpoint(std::string id, std::string name, std::uint64_t expected, const std::string &pool = "desk",
                          int slots = 1)
{
    const std::string spec
        = R"({"pool":")" + pool + R"(","address":"127.0.0.1:80","slots":)" + std::to_string(slots) + '}';
    return {std::move(id), operation::put, resource_kind::endpoint, std::move(name), expected, spec};
}

inline change putPipeline(std::string id, std::string name, std::uint64_t expected, const std::string &pool = "desk")
{
    const std::string spec = R"({"stages":[{"name":"run","pool":")" + pool + "\"}]}";
    return {std::move(id), operation::put, resource_kind::pipeline, std::move(name), expected, spec};
}

inline change putTeam(std::string id, std::string name, std::uint64_t expected, const std::string &pipeline,
                      char digit = 'a')
{
    const std::string spec
        = R"({"pipelines":[")" + pipeline + R"("],"token_digests":[")" + std::string(64, digit) + "\"]}";
    return {std::move(id), operation::put, resource_kind::team, std::move(name), expected, spec};
}

inline change removeResource(std::string id, resource_kind kind, std::string name, std::uint64_t expected)
{
    return {std::move(id), operation::remove, kind, std::move(name), expected, {}};
}

} // namespace masticlever::configuration::test
