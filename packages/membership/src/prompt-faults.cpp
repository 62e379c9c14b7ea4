#include <masticlever/membership/prompt-faults.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

namespace masticlever::membership
{

using common::duration;
using common::instant;

namespace
{

using std::chrono::microseconds;

std::uint64_t toMicroseconds(duration time)
{
    return static_cast<std::uint64_t>(
        std::max(std::chrono::duration_cast<microseconds>(time), microseconds(0)).count());
}

duration fromMicroseconds(std::uint64_t time)
{
    constexpr microseconds longest = std::chrono::hours(24);
    return microseconds(std::min<std::uint64_t>(time, longest.count()));
}

bool contains(std::span<const std::uint64_t> parts, std::uint64_t part)
{
    return std::ranges::find(parts, part) != parts.end();
}

} // namespace

/// Whether another endpoint crashed at the same time, for example in the same rack.
bool prompt_fault_table::isCoincident(const crash &item) const
{
    return std::ranges::any_of(m_crashes, [&](const auto &other) {
        return other.first != item.incarnation && std::chrono::abs(other.second - item.at) < m_options.coincidence;
    });
}

/// The crashes after the last answer that a request may have caused.
std::vector<prompt_fault_table::crash> prompt_fault_table::openCrashes(const entry &known) const
{
    std::vector<crash> open = known.crashes;
    std::erase_if(open, [&](const crash &item) {
        return (known.answeredAt && item.at <= *known.answeredAt) || isCoincident(item);
    });
    return open;
}

/// Times of crashes of which each was caused by a request that was sent after the previous one.
std::vector<instant> prompt_fault_table::longestSequence(std::span<const crash> sorted)
{
    std::vector<instant> sequence;
    for (const crash &item : sorted) {
        if (sequence.empty() || item.at - item.call > sequence.back()) {
            sequence.push_back(item.at);
        }
    }
    return sequence;
}

bool prompt_fault_table::isWithheld(const entry &known, instant now) const
{
    return known.sequence >= m_options.crashesToWithhold && now >= known.withheldFrom
        && now - known.crashes.back().at < m_options.withholdingTime;
}

/// Order of parts that may have caused the same crashes: one that was never answered comes after one that was.
std::pair<bool, std::size_t> prompt_fault_table::evidenceOf(const entry &known)
{
    return {!known.answeredAt.has_value(), known.sequence};
}

/// The open crashes of a part that no withheld part outside of \p parts accounts for. Parts that were answered before
/// yield to ones that never were, otherwise the one with the longer sequence accounts for the crashes of both.
std::vector<prompt_fault_table::crash> prompt_fault_table::unexplainedCrashes(std::uint64_t part, const entry &known,
                                                                              std::span<const std::uint64_t> parts,
                                                                              instant now) const
{
    std::vector<crash> open = openCrashes(known);
    for (const auto &item : m_parts) {
        const entry &other = item.second;
        if (item.first == part || contains(parts, item.first) || !isWithheld(other, now)
            || evidenceOf(other) < evidenceOf(known)) {
            continue;
        }
        std::erase_if(open, [&](const crash &explained) {
            return std::ranges::find(other.crashes, explained.incarnation, &crash::incarnation) != other.crashes.end();
        });
    }
    return open;
}

std::optional<withheld_part> prompt_fault_table::findWithheld(std::span<const std::uint64_t> parts, instant now) const
{
    std::optional<withheld_part> likeliest;
    std::pair<bool, std::size_t> evidence;
    for (const std::uint64_t part : parts) {
        const auto found = m_parts.find(part);
        if (found == m_parts.end() || !isWithheld(found->second, now)) {
            continue;
        }
        const entry &known = found->second;
        const std::vector<crash> crashes = unexplainedCrashes(part, known, parts, now);
        const bool isFirst = !likeliest || evidence < evidenceOf(known);
        if (isFirst && longestSequence(crashes).size() >= m_options.crashesToWithhold) {
            const duration age = now - known.crashes.back().at;
            likeliest = {part, known.sequence, age, m_options.withholdingTime - age};
            evidence = evidenceOf(known);
        }
    }
    return likeliest;
}

std::size_t prompt_fault_table::withheldCount(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_parts, [&](const auto &item) { return isWithheld(item.second, now); }));
}

std::optional<instant> prompt_fault_table::lastAnswer(std::uint64_t part) const
{
    for (const auto *answers : {&m_answers, &m_olderAnswers}) {
        if (const auto found = answers->find(part); found != answers->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

/// If the table is full, the part with the shortest sequence that changed least recently makes room. Returns nullptr if
/// that one is withheld.
prompt_fault_table::entry *prompt_fault_table::findOrAdd(std::uint64_t part)
{
    if (const auto found = m_parts.find(part); found != m_parts.end()) {
        return &found->second;
    }
    if (m_parts.size() >= m_options.maximumParts) {
        const auto least = std::ranges::min_element(
            m_parts, {}, [](const auto &item) { return std::tuple(item.second.sequence, item.second.changedAt); });
        if (least->second.sequence >= m_options.crashesToWithhold) {
            return nullptr;
        }
        m_parts.erase(least);
    }
    entry &added = m_parts[part];
    added.answeredAt = lastAnswer(part);
    return &added;
}

/// Several instances observe the same crash: the earliest time and the latest request count.
bool prompt_fault_table::addCrash(entry &known, const crash &added)
{
    const auto found = std::ranges::find(known.crashes, added.incarnation, &crash::incarnation);
    if (found != known.crashes.end()) {
        const duration call = std::min(found->call, added.call);
        const bool isNews = call < found->call;
        *found = {added.incarnation, std::min(found->at, added.at), call};
        std::ranges::sort(known.crashes, {}, &crash::at);
        return isNews;
    }
    const bool isFull = known.crashes.size() >= m_options.maximumCrashes;
    if (m_retracted.contains(added.incarnation) || (isFull && added.at < known.crashes.front().at)) {
        return false;
    }
    if (isFull) {
        known.crashes.erase(known.crashes.begin());
    }
    known.crashes.push_back(added);
    std::ranges::sort(known.crashes, {}, &crash::at);
    return true;
}

/// Counts the sequence of crashes anew and records how it changed.
void prompt_fault_table::update(std::uint64_t part, entry &known, bool isFromPeer, instant now)
{
    using what = prompt_fault_change::what;
    constexpr std::size_t crashesToLog = 2; // one crash interrupts many parts
    known.changedAt = now;
    const std::vector<instant> times = longestSequence(openCrashes(known));
    const std::size_t sequence = times.size();
    const std::size_t former = std::exchange(known.sequence, sequence);
    known.longest = std::max(known.longest, sequence);
    if (sequence >= m_options.crashesToWithhold) {
        const instant from = times[m_options.crashesToWithhold - 1] + m_options.objectionTime;
        const bool isContinued = former >= m_options.crashesToWithhold; // older crashes may have been dropped since
        known.withheldFrom = isContinued ? std::min(from, known.withheldFrom) : from;
    }
    if (sequence == former || std::max(sequence, former) < crashesToLog || m_changes.size() >= m_options.maximumParts) {
        return;
    }
    const what kind = sequence < former           ? what::cleared
        : sequence >= m_options.crashesToWithhold ? what::withheld
                                                  : what::suspected;
    m_changes.push_back({kind, part, std::max(sequence, former), isFromPeer});
}

/// Adds the time of a crash and counts the sequences anew of parts whose crashes coincide with it.
void prompt_fault_table::recordCrash(std::uint64_t incarnation, instant at, instant now)
{
    const auto [found, isNew] = m_crashes.try_emplace(incarnation, at);
    if ((!isNew && found->second <= at) || m_retracted.contains(incarnation)) {
        return;
    }
    found->second = at;
    if (m_crashes.size() > m_options.maximumParts) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &item) { return item.second; }));
    }
    for (auto &[part, known] : m_parts) {
        const bool isAffected = std::ranges::any_of(known.crashes, [&, at](const crash &item) {
            return item.incarnation != incarnation && std::chrono::abs(item.at - at) < m_options.coincidence;
        });
        if (isAffected) {
            update(part, known, true, now);
        }
    }
}

void prompt_fault_table::onCrash(std::uint64_t incarnation, std::span<const interrupted_part> parts, instant at,
                                 instant now)
{
    recordCrash(incarnation, at, now);
    for (const interrupted_part &item : parts) {
        entry *known = findOrAdd(item.part);
        if (known != nullptr && addCrash(*known, {incarnation, at, item.call})) {
            update(item.part, *known, false, now);
        } else if (known != nullptr && known->crashes.empty()) {
            m_parts.erase(item.part);
        }
    }
}

void prompt_fault_table::onAnswered(std::span<const std::uint64_t> parts, instant now)
{
    for (const std::uint64_t part : parts) {
        if (m_answers.size() >= m_options.maximumAnsweredParts / 2) {
            m_olderAnswers = std::exchange(m_answers, {});
        }
        m_answers[part] = now;
        const auto found = m_parts.find(part);
        if (found == m_parts.end()) {
            continue;
        }
        entry &known = found->second;
        const bool hasOpenCrashes = known.sequence > 0;
        known.answeredAt = now;
        if (hasOpenCrashes) {
            update(part, known, false, now);
        }
    }
}

void prompt_fault_table::onAlive(std::uint64_t incarnation, instant sentAt, instant now)
{
    if (!m_crashes.contains(incarnation)) {
        return;
    }
    for (auto &[part, known] : m_parts) {
        const auto found = std::ranges::find(known.crashes, incarnation, &crash::incarnation);
        if (found == known.crashes.end() || sentAt <= found->at) {
            continue;
        }
        if (m_retracted.size() < m_options.maximumParts) {
            m_retracted.insert(incarnation);
        }
        known.crashes.erase(found);
        m_crashes.erase(incarnation);
        update(part, known, false, now);
    }
    std::erase_if(m_parts, [](const auto &item) { return item.second.crashes.empty(); });
}

void prompt_fault_table::onNotice(const prompt_fault_notice &notice, instant now)
{
    if (notice.crashes.empty()) {
        return;
    }
    entry *known = findOrAdd(notice.part);
    if (known == nullptr) {
        return;
    }
    bool isNews = false;
    for (const part_crash_notice &item : notice.crashes) {
        const duration age = fromMicroseconds(item.ageUs);
        recordCrash(item.incarnation, now - age, now);
        isNews |= age < m_options.retention
            && addCrash(*known, {item.incarnation, now - age, fromMicroseconds(item.callUs)});
    }
    if (known->crashes.empty()) {
        m_parts.erase(notice.part);
        return;
    }
    if (notice.answeredAgeUs) {
        const instant answeredAt = now - fromMicroseconds(*notice.answeredAgeUs);
        const bool isCleared = known->sequence > 0 && answeredAt >= known->crashes.back().at;
        isNews |= isCleared || !known->answeredAt;
        known->answeredAt = std::max(answeredAt, known->answeredAt.value_or(answeredAt));
    }
    if (isNews) {
        update(notice.part, *known, true, now);
    }
}

void prompt_fault_table::advance(instant now)
{
    std::erase_if(m_parts, [&](const auto &item) {
        const entry &known = item.second;
        const bool isOver = now - known.crashes.back().at >= m_options.retention;
        if (isOver && known.sequence >= m_options.crashesToWithhold) {
            m_changes.push_back({prompt_fault_change::what::expired, item.first, known.sequence, false});
        }
        return isOver;
    });
    std::erase_if(m_crashes, [&](const auto &item) { return now - item.second >= m_options.retention; });
    if (m_parts.empty()) {
        m_retracted.clear();
    }
}

std::vector<prompt_fault_notice> prompt_fault_table::notices(bool includesWithheld, instant now) const
{
    std::vector<prompt_fault_notice> all;
    for (const auto &[part, known] : m_parts) {
        const bool hasChanged = now - known.changedAt < m_options.reportingTime;
        if (!hasChanged && !(includesWithheld && isWithheld(known, now))) {
            continue;
        }
        prompt_fault_notice notice{part, {}, std::nullopt};
        if (known.answeredAt) {
            notice.answeredAgeUs = toMicroseconds(now - *known.answeredAt);
        }
        const std::size_t skipped = known.crashes.size() - std::min(known.crashes.size(), m_options.reportedCrashes);
        for (const crash &item : std::span(known.crashes).subspan(skipped)) {
            notice.crashes.push_back({item.incarnation, toMicroseconds(now - item.at), toMicroseconds(item.call)});
        }
        all.push_back(std::move(notice));
    }
    std::ranges::stable_sort(all, std::ranges::greater(),
                             [this](const prompt_fault_notice &notice) { return m_parts.at(notice.part).longest; });
    return all;
}

std::vector<prompt_fault_change> prompt_fault_table::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace masticlever::membership
