#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

/// \file
/// Attributes crashes of endpoints to parts of the prompts that were being answered, so that requests with a part that
/// keeps crashing endpoints can be withheld from the others. The state is merged from this instance's observations and
/// the notices of peers. Prompt parts and incarnations of endpoints are identified by fingerprints.

namespace masticlever::membership
{

/// A crash of an endpoint while it had requests with a prompt part that it had not begun to answer.
struct part_crash_notice {
    std::uint64_t incarnation = 0; ///< of the endpoint; an incarnation crashes once
    std::uint64_t ageUs = 0;
    std::uint64_t callUs = 0; ///< time from the latest of these requests to the crash

    bool operator==(const part_crash_notice &) const = default;
};

/// What one instance knows of a prompt part, as it reports it to others.
struct prompt_fault_notice {
    std::uint64_t part = 0;
    std::vector<part_crash_notice> crashes;
    std::optional<std::uint64_t> answeredAgeUs; ///< time since a request with the part was last answered, if ever

    bool operator==(const prompt_fault_notice &) const = default;
};

/// A part of requests that an endpoint had not begun to answer when it crashed.
struct interrupted_part {
    std::uint64_t part = 0;
    common::duration call{}; ///< time from the latest request with the part to the crash
};

/// Why a request must not be sent.
struct withheld_part {
    std::uint64_t part = 0;
    std::size_t crashes = 0; ///< in sequence, without an answer between them
    common::duration sinceCrash{}; ///< time since the latest one
    common::duration releasedIn{};
};

/// A change of what is known of a part that callers log.
struct prompt_fault_change {
    enum class what { suspected, withheld, cleared, expired };
    what kind = what::suspected;
    std::uint64_t part = 0;
    std::size_t crashes = 0;
    bool isFromPeer = false;
};

struct prompt_fault_options {
    /// Crashes in sequence, without an answer between them, after which a part is withheld.
    std::size_t crashesToWithhold = 3;
    /// Endpoints that crash within this time of each other have another cause than a request.
    common::duration coincidence = std::chrono::milliseconds(20);
    /// Time from the last of these crashes in which peers may report answers that this instance does not know of.
    common::duration objectionTime = std::chrono::seconds(1);
    std::size_t maximumCrashes = 8; ///< of one part that are kept; the oldest ones are dropped
    std::size_t reportedCrashes = 4; ///< the latest ones, in a notice
    /// A part is withheld for this time after its latest crash.
    common::duration withholdingTime = std::chrono::minutes(15);
    /// Crashes are remembered longer, so that one more is enough to withhold the part again.
    common::duration retention = std::chrono::hours(1);
    common::duration reportingTime = std::chrono::seconds(5); ///< for which a change is reported to peers
    std::size_t maximumParts = 1024; ///< with crashes
    std::size_t maximumAnsweredParts = 4096; ///< for which the time of the last answer is known
};

class prompt_fault_table
{
public:
    explicit prompt_fault_table(prompt_fault_options options) : m_options(options) { }

    /// An endpoint crashed at \p at with requests that it had not begun to answer.
    void onCrash(std::uint64_t incarnation, std::span<const interrupted_part> parts, common::instant at,
                 common::instant now);
    /// A request with these parts was answered, which proves that they do not crash endpoints.
    void onAnswered(std::span<const std::uint64_t> parts, common::instant now);
    /// The endpoint answered a request that was sent at \p sentAt. Crashes of this incarnation before that time are
    /// retracted: it was only unreachable.
    void onAlive(std::uint64_t incarnation, common::instant sentAt, common::instant now);
    void onNotice(const prompt_fault_notice &notice, common::instant now);
    /// Removes parts whose retention is over; called at least once a second.
    void advance(common::instant now);

    /// Returns the part for which a request with the shared parts \p parts must not be sent, if any.
    std::optional<withheld_part> findWithheld(std::span<const std::uint64_t> parts, common::instant now) const;
    bool hasCrashes() const { return !m_parts.empty(); }
    /// Number of parts that are withheld.
    std::size_t withheldCount(common::instant now) const;
    /// Returns the notices of parts that changed within the reporting time, and with \p includesWithheld those of all
    /// withheld parts. Those that had the longest sequences come first, whether they were cleared since or not.
    std::vector<prompt_fault_notice> notices(bool includesWithheld, common::instant now) const;
    /// Returns the changes since the last call.
    std::vector<prompt_fault_change> takeChanges();

private:
    struct crash {
        std::uint64_t incarnation = 0;
        common::instant at;
        common::duration call{};
    };

    struct entry {
        std::vector<crash> crashes; ///< sorted by time
        std::optional<common::instant> answeredAt;
        common::instant changedAt;
        std::size_t sequence = 0; ///< length of the current sequence of crashes
        std::size_t longest = 0; ///< of all sequences so far
        common::instant withheldFrom; ///< if the sequence is long enough
    };

    using part_map = std::map<std::uint64_t, entry>;

    std::vector<crash> openCrashes(const entry &known) const;
    bool isCoincident(const crash &item) const;
    static std::vector<common::instant> longestSequence(std::span<const crash> sorted);
    static std::pair<bool, std::size_t> evidenceOf(const entry &known);
    bool isWithheld(const entry &known, common::instant now) const;
    std::vector<crash> unexplainedCrashes(std::uint64_t part, const entry &known, std::span<const std::uint64_t> parts,
                                          common::instant now) const;
    std::optional<common::instant> lastAnswer(std::uint64_t part) const;
    entry *findOrAdd(std::uint64_t part);
    bool addCrash(entry &known, const crash &added);
    void recordCrash(std::uint64_t incarnation, common::instant at, common::instant now);
    void update(std::uint64_t part, entry &known, bool isFromPeer, common::instant now);

    prompt_fault_options m_options;
    part_map m_parts; ///< parts with crashes
    std::map<std::uint64_t, common::instant> m_crashes; ///< times by incarnation
    std::set<std::uint64_t> m_retracted; ///< incarnations that answered after their supposed crash
    /// Times of answers by part. The older half is dropped as a whole when the newer one is full.
    std::unordered_map<std::uint64_t, common::instant> m_answers;
    std::unordered_map<std::uint64_t, common::instant> m_olderAnswers;
    std::vector<prompt_fault_change> m_changes;
};

} // namespace masticlever::membership
