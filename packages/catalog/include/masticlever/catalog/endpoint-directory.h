#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Which endpoints may be given work, from their registrations in the platform's store and from what they say
/// themselves. Leaving is sticky for an incarnation.

namespace masticlever::catalog
{

enum class endpoint_state { ready, draining };

/// What an endpoint says of itself.
struct endpoint_record {
    std::string id; ///< mostly new at each start of an endpoint
    std::uint64_t bornMs = 0; ///< Unix time of its start; tells incarnations of one id apart
    std::uint64_t sequence = 0; ///< rises within an incarnation
    std::string service;
    std::string address; ///< "IP:port"
    std::string dataCentre;
    std::size_t slots = 1;
    endpoint_state state = endpoint_state::ready;
    common::duration warmUpLeft{}; ///< how much longer it is slow after its start

    bool operator==(const endpoint_record &) const = default;
};

/// A change that is worth a log line.
struct directory_change {
    enum class what { added, draining, removed, returned };
    what kind = what::added;
    std::string id;
    std::string service;
    std::string address;
};

struct directory_options {
    /// An entry that lapsed during an outage of the store may come back for so long after its return.
    common::duration lapseGrace = std::chrono::milliseconds(2000);
    /// Shorter absences make no entry lapse: endpoints register more than twice in that time.
    common::duration shortestOutage = std::chrono::milliseconds(2500);
    /// For so long a removed endpoint is remembered, so that an older record of it does not bring it back.
    common::duration rememberRemoved = std::chrono::minutes(2);
};

class endpoint_directory
{
public:
    explicit endpoint_directory(directory_options options) : m_options(options) { }

    /// A registration was read; older ones of the same endpoint are ignored.
    std::vector<directory_change> onRecord(const endpoint_record &record, common::instant now);
    /// The registration of \p id is gone.
    std::vector<directory_change> onRemoved(std::string_view id, common::instant now);
    /// A whole listing: endpoints that are not among \p ids are removed.
    std::vector<directory_change> onListing(std::span<const std::string> ids, common::instant now);
    /// The endpoint itself said that it is leaving, or another one answered at its address. Holds for its incarnation,
    /// whatever its registration says from then on.
    std::vector<directory_change> onSeenLeaving(std::string_view id, common::instant now);
    /// The same, heard from another instance, which means that incarnation only.
    std::vector<directory_change> onToldLeaving(std::string_view id, std::uint64_t bornMs, common::instant now);
    /// The endpoint has said that it wants nothing from this instance until then.
    void onAskedQuiet(std::string_view id, common::instant until);

    void onStoreReachable(bool isReachable, common::instant now);
    /// Ends the grace of lapsed entries; called several times a second.
    std::vector<directory_change> advance(common::instant now);

    /// Endpoints of \p service that may be given work, by id.
    std::vector<const endpoint_record *> usable(std::string_view service) const;
    /// The endpoint if it may be given work.
    const endpoint_record *findUsable(std::string_view id) const;
    /// Until when the endpoint wants nothing from this instance; in the past when it takes work.
    common::instant quietUntil(std::string_view id) const;
    /// Endpoints that are registered at that address, the leaving ones too.
    std::vector<std::string> idsAt(std::string_view address) const;
    bool isLeaving(std::string_view id) const;
    /// Start of the known incarnation of \p id, Unix time; 0 when it is not known.
    std::uint64_t bornMsOf(std::string_view id) const;
    /// The registrations that stand in the store as far as it is known, by id, without those that are only kept for
    /// their possible return; those that are known to leave say so.
    std::vector<endpoint_record> records() const;
    std::size_t size() const { return m_entries.size(); }

    /// Whether entries may be kept here although they have left: the store is away, or was a moment ago.
    bool isStoreSuspect(common::instant now) const;

private:
    struct entry {
        endpoint_record record;
        bool isLeaving = false;
        std::optional<common::instant> lapsedAt; ///< removed while the store was away
        common::instant quietUntil;
    };

    struct removed_entry {
        std::uint64_t bornMs = 0;
        std::uint64_t sequence = 0;
        common::instant at;
        bool wasLeaving = false;
        common::instant quietUntil;
    };

    bool isOutdated(const endpoint_record &record) const;
    std::vector<directory_change> erase(std::map<std::string, entry, std::less<>>::iterator found, common::instant now);
    void index(const endpoint_record &record);
    void unindex(const endpoint_record &record);

    directory_options m_options;
    std::map<std::string, entry, std::less<>> m_entries; ///< by id
    std::map<std::string, std::vector<std::string>, std::less<>> m_byService; ///< ids, sorted
    std::map<std::string, std::vector<std::string>, std::less<>> m_byAddress; ///< ids, sorted
    std::map<std::string, removed_entry, std::less<>> m_removed; ///< by id
    bool m_isStoreReachable = false;
    std::optional<common::instant> m_storeLostAt;
    std::optional<common::instant> m_storeBackAt; ///< after an outage in which entries may have lapsed
};

} // namespace masticlever::catalog
