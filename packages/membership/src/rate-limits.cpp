#include <masticlever/membership/rate-limits.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace masticlever::membership
{

namespace
{

/// Rate for comparisons; higher than any limit if there is none.
double comparable(const std::optional<double> &rate)
{
    return rate.value_or(std::numeric_limits<double>::infinity());
}

std::uint32_t ageInMilliseconds(common::duration age)
{
    constexpr std::int64_t maximum = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(common::toMilliseconds(age), 0, maximum));
}

} // namespace

void rate_limit_table::set(const std::string &endpoint, const entry &updated, bool isFromPeer, common::instant now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() && m_entries.size() >= m_options.maximumEntries) {
        return;
    }
    entry &known = found == m_entries.end() ? m_entries[endpoint] : found->second;
    const std::optional<double> former = known.startedAtMs == updated.startedAtMs ? known.rate : std::nullopt;
    known = updated;
    if (former != updated.rate && m_changes.size() < m_options.maximumEntries) {
        m_changes.push_back({endpoint, former, updated.rate, isFromPeer, now - updated.confirmedAt});
    }
}

void rate_limit_table::onAnswer(std::string_view endpoint, std::uint64_t startedAtMs, std::optional<double> rate,
                                common::instant sentAt, common::instant now)
{
    const auto found = m_entries.find(endpoint);
    const bool isKnown = found != m_entries.end() && found->second.startedAtMs >= startedAtMs;
    if (!isKnown) {
        if (rate) {
            set(std::string(endpoint), {startedAtMs, 1, rate, 0, now}, false, now);
        }
        return;
    }
    const entry &known = found->second;
    if (known.startedAtMs > startedAtMs) {
        return;
    }
    if (known.rate == rate) {
        if (rate) {
            found->second.confirmedAt = now;
            ++found->second.confirmations;
        }
        return;
    }
    if (comparable(rate) > comparable(known.rate) && sentAt <= known.confirmedAt) {
        return;
    }
    set(std::string(endpoint), {startedAtMs, known.version + 1, rate, 0, now}, false, now);
}

void rate_limit_table::onNotice(const rate_limit_notice &notice, common::instant now)
{
    const entry reported{notice.startedAtMs, notice.version, notice.rate, notice.confirmations,
                         now - std::chrono::milliseconds(notice.ageMs)};
    const auto found = m_entries.find(notice.endpoint);
    if (found == m_entries.end()) {
        set(notice.endpoint, reported, true, now);
        return;
    }
    entry &known = found->second;
    const auto order = [](const entry &item) {
        return std::tuple(item.startedAtMs, item.version, -comparable(item.rate), item.confirmations);
    };
    if (order(reported) > order(known)) {
        set(notice.endpoint, reported, true, now);
    } else if (order(reported) == order(known)) {
        known.confirmedAt = std::min(known.confirmedAt, reported.confirmedAt);
    }
}

common::duration rate_limit_table::retentionOf(const entry &known) const
{
    return known.rate ? m_options.limitRetention : m_options.endedRetention;
}

void rate_limit_table::advance(common::instant now)
{
    std::erase_if(m_entries,
                  [&](const auto &item) { return now - item.second.confirmedAt > retentionOf(item.second); });
}

std::optional<rate_limit> rate_limit_table::find(std::string_view endpoint, std::uint64_t startedAtMs) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || found->second.startedAtMs != startedAtMs || !found->second.rate) {
        return std::nullopt;
    }
    return rate_limit{*found->second.rate, found->second.confirmedAt};
}

std::size_t rate_limit_table::limitedCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [](const auto &item) { return item.second.rate.has_value(); }));
}

std::vector<rate_limit_notice> rate_limit_table::notices(common::instant now) const
{
    std::vector<rate_limit_notice> all;
    all.reserve(m_entries.size());
    for (const auto &[endpoint, known] : m_entries) {
        const common::duration age = now - known.confirmedAt;
        if (age <= common::scaled(retentionOf(known), m_options.reportedShare)) {
            all.push_back(
                {endpoint, known.startedAtMs, known.version, known.rate, known.confirmations, ageInMilliseconds(age)});
        }
    }
    return all;
}

std::vector<rate_limit_change> rate_limit_table::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace masticlever::membership
