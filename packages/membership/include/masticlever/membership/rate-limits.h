#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Tracks the rate limits that endpoints state in their answers. A limit is for all instances together. The state is
/// merged from this instance's answers and the notices of peers.

namespace masticlever::membership
{

/// Rate limit of one incarnation of an endpoint, as one instance reports it to others.
struct rate_limit_notice {
    std::string endpoint;
    std::uint64_t startedAtMs = 0; ///< identifies the incarnation; a later start is newer
    std::uint64_t version = 0; ///< incremented by each instance that sees the endpoint change the limit
    std::optional<double> rate; ///< requests per second; nothing if the limit has ended
    std::uint32_t confirmations = 0; ///< of this version; incremented by the instance that gets the answer
    std::uint32_t ageMs = 0; ///< time since an answer last confirmed it

    bool operator==(const rate_limit_notice &) const = default;
};

struct rate_limit {
    double rate = 0; ///< requests per second, from all instances together
    common::instant confirmedAt; ///< time of the latest answer, of any instance, that states it
};

/// A change of the known limits that callers log.
struct rate_limit_change {
    std::string endpoint;
    std::optional<double> former;
    std::optional<double> rate; ///< nothing if the limit has ended
    bool isFromPeer = false;
    common::duration age{}; ///< time since the endpoint stated it
};

struct rate_limit_options {
    common::duration endedRetention = std::chrono::seconds(60); ///< of the end of a limit
    /// Limits that no answer has confirmed for this time are removed, because the endpoint is no longer in use.
    common::duration limitRetention = std::chrono::minutes(5);
    /// Entries older than this share of their retention are no longer reported to peers. Otherwise instances that have
    /// removed one would get it back from others.
    double reportedShare = 0.5;
    std::size_t maximumEntries = 4096; ///< further endpoints, and changes that nobody takes, are ignored
};

class rate_limit_table
{
public:
    explicit rate_limit_table(rate_limit_options options) : m_options(options) { }

    /// An answer to a request that was sent at \p sentAt states \p rate, or no limit. A stricter rate applies at once.
    /// A looser one, or none, applies only if the request was sent after the limit was last confirmed, because answers
    /// may overtake each other.
    void onAnswer(std::string_view endpoint, std::uint64_t startedAtMs, std::optional<double> rate,
                  common::instant sentAt, common::instant now);
    /// The higher version applies; of two notices with the same version, the one with the lower rate. Only a notice
    /// with more confirmations makes the entry younger: ages lose the transit time whenever a notice is passed on.
    void onNotice(const rate_limit_notice &notice, common::instant now);
    /// Removes entries whose retention is over; called at least once a second.
    void advance(common::instant now);

    /// The limit in force for this incarnation, if any.
    std::optional<rate_limit> find(std::string_view endpoint, std::uint64_t startedAtMs) const;
    /// Number of endpoints with a limit.
    std::size_t limitedCount() const;
    /// The notices for peers, sorted by endpoint.
    std::vector<rate_limit_notice> notices(common::instant now) const;
    /// Returns the changes since the last call.
    std::vector<rate_limit_change> takeChanges();

private:
    struct entry {
        std::uint64_t startedAtMs = 0;
        std::uint64_t version = 0;
        std::optional<double> rate;
        std::uint32_t confirmations = 0;
        common::instant confirmedAt;
    };

    common::duration retentionOf(const entry &known) const;
    void set(const std::string &endpoint, const entry &updated, bool isFromPeer, common::instant now);

    rate_limit_options m_options;
    std::map<std::string, entry, std::less<>> m_entries; ///< by endpoint
    std::vector<rate_limit_change> m_changes;
};

} // namespace masticlever::membership
