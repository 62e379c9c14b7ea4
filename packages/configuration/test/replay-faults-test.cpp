#include "log-fixture.h"

#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/configuration/change-tracker.h>
#include <masticlever/configuration/snapshot-writer.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>

// Seeded simulation of several instances on one log. Append and read results are lost, delayed or duplicated, retention
// drops records, snapshots are appended late, and instances restart one by one or all at once.

using namespace masticlever;
using namespace masticlever::configuration;
using namespace masticlever::configuration::test;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned seeds = 40;
constexpr int steps = 500;
constexpr std::size_t instances = 4;
constexpr platform::log_offset retainedRecords = 40;

change_tracker_options trackerOptions()
{
    return {8s, 1s, 10min};
}

snapshot_writer_options writerOptions()
{
    return {8, 1h, 0s, 1s};
}

struct instance {
    replayer reader;
    change_tracker tracker{trackerOptions()};
    snapshot_writer writer{writerOptions()};
    std::vector<platform::log_batch> lateReads;
    platform::log_offset appliedOffset = 0;
};

/// Reference model of versions: only the first record with a change id counts, and only if it expects the current
/// version.
struct version_model {
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, bool> accepted; ///< by change id

    void onRecord(const change &requested, platform::log_offset offset)
    {
        if (accepted.contains(requested.id)) {
            return;
        }
        std::uint64_t &currentVersion = versions[requested.name];
        accepted[requested.id]
            = currentVersion == requested.expectedVersion && (requested.what == operation::put || currentVersion != 0);
        if (accepted[requested.id]) {
            currentVersion = requested.what == operation::put ? offset : 0;
        }
    }
};

class simulation
{
public:
    explicit simulation(unsigned seed) : m_random(seed), m_instances(instances) { m_digests[0] = digestOf(m_oracle); }

    void step();
    void catchUpAndVerify();

private:
    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    instance &randomInstance() { return m_instances[randomIndex(m_instances.size())]; }
    static std::string digestOf(const replayer &reader) { return common::sha256Hex(reader.encodeSnapshot()); }

    platform::log_offset append(const std::string &payload);
    void submit(instance &target);
    void runAppends(instance &target);
    void read(instance &target);
    void deliverLateRead(instance &target);
    void deliverLateAppend();
    void writeSnapshot(instance &target);
    void syncFromPeer(instance &to, instance &from);
    void dropOldRecords();
    void restartInstances();
    void verify(instance &target);

    std::mt19937 m_random;
    memory_log m_log;
    std::vector<instance> m_instances;
    replayer m_oracle; ///< reads every record before any is dropped
    version_model m_model;
    std::map<platform::log_offset, std::string> m_digests; ///< digest of the state after each record
    std::map<std::string, change> m_changes; ///< by change id
    std::map<std::string, std::string> m_idByPayload;
    std::vector<std::string> m_lateAppends;
    common::instant m_now{};
};

platform::log_offset simulation::append(const std::string &payload)
{
    const auto offset = m_log.append(payload);
    if (const auto known = m_idByPayload.find(payload); known != m_idByPayload.end()) {
        m_model.onRecord(m_changes.at(known->second), offset);
    }
    m_oracle.onRecords({1, m_log.end(), {m_log.records().back()}});
    m_digests[offset] = digestOf(m_oracle);
    for (const auto &[name, version] : m_model.versions) {
        const auto found = m_oracle.current()->endpoints.find(name);
        REQUIRE((found == m_oracle.current()->endpoints.end() ? 0 : found->second.version) == version);
    }
    return offset;
}

void simulation::submit(instance &target)
{
    if (!m_changes.empty() && randomIndex(4) == 0) {
        const auto resubmitted
            = std::next(m_changes.begin(), static_cast<std::ptrdiff_t>(randomIndex(m_changes.size())));
        target.tracker.submit(resubmitted->second, target.reader, m_now);
        return;
    }
    const std::string id = "c" + std::to_string(m_changes.size());
    const std::string name = "desk-" + std::to_string(randomIndex(4));
    const auto &endpoints = target.reader.current()->endpoints;
    const auto found = endpoints.find(name);
    const std::uint64_t version = found == endpoints.end() ? 0 : found->second.version;
    const bool removes = version != 0 && randomIndex(3) == 0;
    const int slots = static_cast<int>(m_changes.size()) + 1;
    m_changes[id] = removes ? removeResource(id, resource_kind::endpoint, name, version)
                            : putEndpoint(id, name, version, "desk", slots);
    m_idByPayload[encodeChange(m_changes[id])] = id;
    target.tracker.submit(m_changes[id], target.reader, m_now);
}

void simulation::runAppends(instance &target)
{
    for (const auto &action : target.tracker.takeAppends(m_now)) {
        common::result<platform::log_offset> answer = common::make_error_code(common::error::lost_answer);
        switch (randomIndex(5)) {
        case 0:
            answer = common::make_error_code(common::error::unavailable);
            break;
        case 1: // record and answer are lost
            break;
        case 2:
            m_lateAppends.push_back(action.payload);
            break;
        case 3: // only the answer is lost
            append(action.payload);
            break;
        default:
            answer = append(action.payload);
        }
        target.tracker.onAppendEnded(action.changeId, answer, m_now);
    }
}

void simulation::read(instance &target)
{
    const auto batch = m_log.read(target.reader.nextOffset(), 1 + randomIndex(20));
    if (randomIndex(3) == 0) {
        target.lateReads.push_back(batch);
    }
    target.reader.onRecords(batch);
}

void simulation::deliverLateRead(instance &target)
{
    if (!target.lateReads.empty()) {
        const std::size_t index = randomIndex(target.lateReads.size());
        target.reader.onRecords(target.lateReads[index]);
    }
}

void simulation::deliverLateAppend()
{
    if (!m_lateAppends.empty()) {
        const auto which = m_lateAppends.begin() + static_cast<std::ptrdiff_t>(randomIndex(m_lateAppends.size()));
        const std::string payload = *which;
        m_lateAppends.erase(which);
        append(payload);
    }
}

void simulation::writeSnapshot(instance &target)
{
    const auto payload = target.writer.poll(target.reader, 0, m_now, common::wall_time{});
    if (!payload) {
        return;
    }
    if (randomIndex(2) == 0) {
        append(*payload);
    } else {
        m_lateAppends.push_back(*payload);
    }
    target.writer.onAppendEnded(true, m_now);
}

void simulation::syncFromPeer(instance &to, instance &from)
{
    const auto batch = from.reader.recordsFrom(to.reader.nextOffset(), 1 + randomIndex(20));
    if (batch && randomIndex(3) != 0) {
        to.reader.onPeerRecords(*batch);
    } else if (from.reader.isReady()) {
        to.reader.onPeerState(from.reader.encodeSnapshot());
    }
}

/// Drops old records, but none that the newest snapshot does not cover: retention is longer than the snapshot interval.
void simulation::dropOldRecords()
{
    const auto wanted = m_log.end() > retainedRecords ? m_log.end() - retainedRecords : 1;
    m_log.dropBelow(std::min(wanted, m_oracle.newestSnapshot().covers + 1));
}

void simulation::restartInstances()
{
    if (randomIndex(4) != 0) {
        randomInstance() = instance{};
        return;
    }
    for (auto &target : m_instances) {
        target = instance{};
    }
}

void simulation::verify(instance &target)
{
    const auto offset = target.reader.current()->offset;
    REQUIRE(offset >= target.appliedOffset);
    if (offset > target.appliedOffset) {
        REQUIRE(digestOf(target.reader) == m_digests.at(offset));
    }
    target.appliedOffset = offset;
    REQUIRE(target.reader.counters().divergences == 0);
    target.tracker.onReplayed(target.reader, m_now);
    target.tracker.onTimer(m_now);
    for (const auto &ended : target.tracker.takeEnded()) {
        if (ended.progress == change_progress::settled) {
            REQUIRE(m_model.accepted.at(ended.id) == (ended.outcome.status == change_status::accepted));
        }
    }
}

void simulation::step()
{
    m_now += std::chrono::milliseconds(randomIndex(500));
    instance &target = randomInstance();
    switch (randomIndex(12)) {
    case 0:
    case 1:
    case 2:
        submit(target);
        runAppends(target);
        break;
    case 3:
    case 4:
    case 5:
        read(target);
        runAppends(target);
        break;
    case 6:
        deliverLateRead(target);
        break;
    case 7:
        deliverLateAppend();
        break;
    case 8:
        writeSnapshot(target);
        break;
    case 9:
        syncFromPeer(target, randomInstance());
        break;
    case 10:
        dropOldRecords();
        break;
    default:
        if (randomIndex(10) == 0) {
            restartInstances();
        } else {
            append("no change");
        }
    }
    verify(target);
}

void simulation::catchUpAndVerify()
{
    for (auto &target : m_instances) {
        readAll(target.reader, m_log);
        verify(target);
        REQUIRE(target.reader.isReady());
        REQUIRE(target.reader.current()->offset + 1 == m_log.end());
    }
    REQUIRE(m_log.head() > 1);
    instance newInstance;
    REQUIRE(readAll(newInstance.reader, m_log) == replay_state::current);
    REQUIRE(digestOf(newInstance.reader) == digestOf(m_oracle));
    for (const auto &[id, requested] : m_changes) {
        const auto outcome = newInstance.reader.outcomeOf(id);
        REQUIRE(outcome.has_value() == m_model.accepted.contains(id));
        REQUIRE((!outcome || (outcome->status == change_status::accepted) == m_model.accepted.at(id)));
    }
}

} // namespace

TEST_CASE("instances agree and lose no accepted change despite lost, late and duplicate messages")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        simulation run(seed);
        for (int i = 0; i < steps; ++i) {
            run.step();
        }
        run.catchUpAndVerify();
    }
}
