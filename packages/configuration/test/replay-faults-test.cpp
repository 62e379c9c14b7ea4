#include "log-fixture.h"

#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/configuration/change-tracker.h>
#include <masticlever/configuration/snapshot-writer.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>

// A seeded run of several instances on one log: answers are lost, late and doubled, records age out, writers of
// snapshots pause, instances are replaced one by one and all at once.

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
    platform::log_offset reached = 0;
};

/// Versions by the plain rule: the first record of an id counts, and only if it expects the present version.
struct version_model {
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, bool> accepted; ///< by change id

    void onRecord(const change &what, platform::log_offset offset)
    {
        if (accepted.contains(what.id)) {
            return;
        }
        std::uint64_t &present = versions[what.name];
        accepted[what.id] = present == what.expectedVersion && (what.what == operation::put || present != 0);
        if (accepted[what.id]) {
            present = what.what == operation::put ? offset : 0;
        }
    }
};

class world
{
public:
    explicit world(unsigned seed) : m_random(seed), m_fleet(instances) { m_states[0] = digestOf(m_oracle); }

    void step();
    void heal();

private:
    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }
    instance &anyInstance() { return m_fleet[pick(m_fleet.size())]; }
    static std::string digestOf(const replayer &reader) { return common::sha256Hex(reader.encodeSnapshot()); }

    platform::log_offset append(const std::string &payload);
    void submit(instance &self);
    void runAppends(instance &self);
    void read(instance &self);
    void deliverLateRead(instance &self);
    void deliverLateAppend();
    void writeSnapshot(instance &self);
    void passRecords(instance &to, instance &from);
    void ageOut();
    void replace();
    void check(instance &self);

    std::mt19937 m_random;
    memory_log m_log;
    std::vector<instance> m_fleet;
    replayer m_oracle; ///< reads every record before any is dropped
    version_model m_model;
    std::map<platform::log_offset, std::string> m_states; ///< digest of the state after each record
    std::map<std::string, change> m_changes; ///< by change id
    std::map<std::string, std::string> m_idByPayload;
    std::vector<std::string> m_lateAppends;
    common::instant m_now{};
};

platform::log_offset world::append(const std::string &payload)
{
    const auto offset = m_log.append(payload);
    if (const auto known = m_idByPayload.find(payload); known != m_idByPayload.end()) {
        m_model.onRecord(m_changes.at(known->second), offset);
    }
    m_oracle.onRecords({1, m_log.end(), {m_log.records().back()}});
    m_states[offset] = digestOf(m_oracle);
    for (const auto &[name, version] : m_model.versions) {
        const auto found = m_oracle.current()->endpoints.find(name);
        REQUIRE((found == m_oracle.current()->endpoints.end() ? 0 : found->second.version) == version);
    }
    return offset;
}

void world::submit(instance &self)
{
    if (!m_changes.empty() && pick(4) == 0) {
        const auto again = std::next(m_changes.begin(), static_cast<std::ptrdiff_t>(pick(m_changes.size())));
        self.tracker.submit(again->second, self.reader, m_now);
        return;
    }
    const std::string id = "c" + std::to_string(m_changes.size());
    const std::string name = "desk-" + std::to_string(pick(4));
    const auto &present = self.reader.current()->endpoints;
    const auto found = present.find(name);
    const std::uint64_t version = found == present.end() ? 0 : found->second.version;
    const bool removes = version != 0 && pick(3) == 0;
    const int slots = static_cast<int>(m_changes.size()) + 1;
    m_changes[id]
        = removes ? removal(id, resource_kind::endpoint, name, version) : putEndpoint(id, name, version, "desk", slots);
    m_idByPayload[encodeChange(m_changes[id])] = id;
    self.tracker.submit(m_changes[id], self.reader, m_now);
}

void world::runAppends(instance &self)
{
    for (const auto &action : self.tracker.takeAppends(m_now)) {
        common::result<platform::log_offset> answer = common::make_error_code(common::error::lost_answer);
        switch (pick(5)) {
        case 0:
            answer = common::make_error_code(common::error::unavailable);
            break;
        case 1: // lost with the record
            break;
        case 2:
            m_lateAppends.push_back(action.payload);
            break;
        case 3: // the answer alone is lost
            append(action.payload);
            break;
        default:
            answer = append(action.payload);
        }
        self.tracker.onAppendEnded(action.changeId, answer, m_now);
    }
}

void world::read(instance &self)
{
    const auto batch = m_log.read(self.reader.nextOffset(), 1 + pick(20));
    if (pick(3) == 0) {
        self.lateReads.push_back(batch);
    }
    self.reader.onRecords(batch);
}

void world::deliverLateRead(instance &self)
{
    if (!self.lateReads.empty()) {
        const std::size_t index = pick(self.lateReads.size());
        self.reader.onRecords(self.lateReads[index]);
    }
}

void world::deliverLateAppend()
{
    if (!m_lateAppends.empty()) {
        const auto which = m_lateAppends.begin() + static_cast<std::ptrdiff_t>(pick(m_lateAppends.size()));
        const std::string payload = *which;
        m_lateAppends.erase(which);
        append(payload);
    }
}

void world::writeSnapshot(instance &self)
{
    const auto payload = self.writer.poll(self.reader, 0, m_now, common::wall_time{});
    if (!payload) {
        return;
    }
    if (pick(2) == 0) {
        append(*payload);
    } else {
        m_lateAppends.push_back(*payload);
    }
    self.writer.onAppendEnded(true, m_now);
}

void world::passRecords(instance &to, instance &from)
{
    const auto batch = from.reader.recordsFrom(to.reader.nextOffset(), 1 + pick(20));
    if (batch && pick(3) != 0) {
        to.reader.onPeerRecords(*batch);
    } else if (from.reader.isReady()) {
        to.reader.onPeerState(from.reader.encodeSnapshot());
    }
}

/// Retention is longer than the interval of snapshots: it stops at the newest one's offset.
void world::ageOut()
{
    const auto wanted = m_log.end() > retainedRecords ? m_log.end() - retainedRecords : 1;
    m_log.dropBelow(std::min(wanted, m_oracle.newestSnapshot().covers + 1));
}

void world::replace()
{
    if (pick(4) != 0) {
        anyInstance() = instance{};
        return;
    }
    for (auto &self : m_fleet) {
        self = instance{};
    }
}

void world::check(instance &self)
{
    const auto offset = self.reader.current()->offset;
    REQUIRE(offset >= self.reached);
    if (offset > self.reached) {
        REQUIRE(digestOf(self.reader) == m_states.at(offset));
    }
    self.reached = offset;
    REQUIRE(self.reader.counters().divergences == 0);
    self.tracker.onReplayed(self.reader, m_now);
    self.tracker.onTimer(m_now);
    for (const auto &ended : self.tracker.takeEnded()) {
        if (ended.progress == change_progress::settled) {
            REQUIRE(m_model.accepted.at(ended.id) == (ended.outcome.status == change_status::accepted));
        }
    }
}

void world::step()
{
    m_now += std::chrono::milliseconds(pick(500));
    instance &self = anyInstance();
    switch (pick(12)) {
    case 0:
    case 1:
    case 2:
        submit(self);
        runAppends(self);
        break;
    case 3:
    case 4:
    case 5:
        read(self);
        runAppends(self);
        break;
    case 6:
        deliverLateRead(self);
        break;
    case 7:
        deliverLateAppend();
        break;
    case 8:
        writeSnapshot(self);
        break;
    case 9:
        passRecords(self, anyInstance());
        break;
    case 10:
        ageOut();
        break;
    default:
        if (pick(10) == 0) {
            replace();
        } else {
            append("no change");
        }
    }
    check(self);
}

void world::heal()
{
    for (auto &self : m_fleet) {
        readAll(self.reader, m_log);
        check(self);
        REQUIRE(self.reader.isReady());
        REQUIRE(self.reader.current()->offset + 1 == m_log.end());
    }
    REQUIRE(m_log.head() > 1);
    instance fresh;
    REQUIRE(readAll(fresh.reader, m_log) == replay_state::current);
    REQUIRE(digestOf(fresh.reader) == digestOf(m_oracle));
    for (const auto &[id, what] : m_changes) {
        const auto outcome = fresh.reader.outcomeOf(id);
        REQUIRE(outcome.has_value() == m_model.accepted.contains(id));
        REQUIRE((!outcome || (outcome->status == change_status::accepted) == m_model.accepted.at(id)));
    }
}

} // namespace

TEST_CASE("all instances replay alike and nothing accepted is lost or reverts")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        world fleet(seed);
        for (int i = 0; i < steps; ++i) {
            fleet.step();
        }
        fleet.heal();
    }
}
