#pragma once

#include "detail/entry.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

/// \file
/// The replicated state, which depends on nothing but the log's records.

namespace masticlever::ledger::detail
{

/// Compact key of a run, ordered by the time in the UUID.
struct packed_key {
    std::array<std::uint8_t, 16> uuid{};
    std::uint32_t team = 0;

    bool operator<(const packed_key &other) const { return std::tie(uuid, team) < std::tie(other.uuid, other.team); }
};

enum class run_phase : std::uint8_t { refused, open, finished };

struct run_state {
    epoch at = 0;
    wall_time until; ///< end of the key's window
    wall_time changedAt; ///< log time of the last change; for a refused run, when it may be claimed again
    std::string digestAndAnswer; ///< digest of the request's body, then the final answer
    std::unique_ptr<open_run> open;
    std::uint16_t pipeline = 0;
    std::uint16_t digestLength = 0;
    run_phase phase = run_phase::refused;
};

/// Effect of an entry on the state of its run.
enum class effect {
    none, ///< not valid, or without a change
    claimed,
    refused,
    taken,
    changed,
};

/// Whether the claim \p nonce was written by \p incarnation: a nonce starts with its writer's incarnation.
bool isWriter(const std::string &incarnation, const std::string &nonce);

class run_table
{
public:
    /// Clears the table after records were lost to retention. Runs with keys created before \p first may have earlier
    /// records that are not retained; only a checkpoint_entry adds such a run to the table.
    void resetAfterTruncation(wall_time first);

    effect apply(const entry &e, platform::log_offset offset, wall_time appendedAt);

    /// Whether \p e can no longer have an effect, whatever other entries are appended before it.
    bool isObsolete(const entry &e) const;

    const run_state *find(const run_key &run) const;
    /// Whether the run may have records older than the first one that was read.
    bool mayHaveUnreadRecords(const run_key &run) const;
    const std::string &pipelineName(std::uint16_t pipeline) const { return m_pipelines[pipeline]; }
    void forEachOpen(const std::function<void(const run_key &, const run_state &)> &visit) const;
    std::size_t size() const { return m_runs.size(); }
    wall_time logTime() const { return m_logTime; }
    std::string digest() const;

    /// Advances the log's time and erases refused and finished runs whose window has ended.
    void advance(wall_time appendedAt);

private:
    using run_map = std::map<packed_key, run_state>;

    effect applyTo(const claim_entry &e, platform::log_offset offset);
    effect applyTo(const finish_entry &e, platform::log_offset offset);
    effect applyTo(const answer_entry &e, platform::log_offset offset);
    effect applyTo(const refuse_entry &e, platform::log_offset offset);
    effect applyTo(const take_entry &e, platform::log_offset offset);
    effect applyTo(const unknown_entry &e, platform::log_offset offset);
    effect applyTo(const settle_entry &e, platform::log_offset offset);
    effect applyTo(const checkpoint_entry &e, platform::log_offset offset);

    bool isClaimValid(const claim_entry &e, const run_state *state) const;
    effect finishStage(run_state &state, const packed_key &key, const std::string &result, const std::string &answer);
    effect voidClaim(run_state &state, const packed_key &key, const refuse_entry &e, platform::log_offset offset);
    void finish(run_state &state, const packed_key &key, const std::string &answer);
    void refuse(run_state &state, const packed_key &key, const refuse_entry &e, platform::log_offset offset);
    void openRun(run_state &state, const packed_key &key, const claim_entry &e);
    void noteEntryOffset(const entry &e, const packed_key &key, platform::log_offset offset);
    std::optional<packed_key> packedKeyOf(const run_key &run) const;
    packed_key pack(const run_key &run);
    run_key unpack(const packed_key &key) const;
    run_state *findState(const packed_key &key);
    std::uint16_t internPipeline(const std::string &name);

    run_map m_runs;
    std::set<packed_key> m_open;
    std::map<packed_key, platform::log_offset> m_orphans; ///< newest entry of runs whose first records were not read
    std::vector<std::string> m_teams;
    std::unordered_map<std::string, std::uint32_t> m_teamNumbers;
    std::vector<std::string> m_pipelines{std::string()}; ///< index 0 stands for no pipeline
    wall_time m_logTime; ///< newest timestamp of the log service
    wall_time m_nextSweep;
    wall_time m_firstRecordTime; ///< service time of the first record read; zero when the log was read from offset 1
};

} // namespace masticlever::ledger::detail
