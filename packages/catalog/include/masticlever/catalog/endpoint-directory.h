#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// Tracks which endpoints accept work, based on their registrations in the platform's store and on the state they
/// report in their responses. Once an incarnation of an endpoint is leaving, it stays leaving.

namespace masticlever::catalog
{

enum class endpoint_state { ready, draining };

/// An endpoint's registration.
struct endpoint_record {
    std::string id; ///< usually a new one for each start of an endpoint
    std::uint64_t startedAtMs = 0; ///< Unix time of its start; distinguishes incarnations with the same id
    std::uint64_t sequence = 0; ///< increases within an incarnation
    std::string service;
    std::string address; ///< "IP:port"
    std::string dataCentre;
    std::size_t slots = 1;
    endpoint_state state = endpoint_state::ready;
    common::duration warmUpLeft{}; ///< remaining time during which the endpoint is slow after its start

    bool operator==(const endpoint_record &) const = default;
};

/// A change of the directory that callers log.
struct directory_change {
    enum class what { added, draining, removed, returned };
    what kind = what::added;
    std::string id;
    std::string service;
    std::string address;
};

struct directory_options {
    /// After an outage of the store, expired registrations are kept for this time so that endpoints can renew them.
    common::duration expiryGrace = std::chrono::milliseconds(2000);
    /// Shorter interruptions are not outages: an endpoint registers more than twice in this time, so no registration
    /// expires because of them.
    common::duration minimumOutage = std::chrono::milliseconds(2500);
    /// Removed endpoints are remembered for this time so that an older record does not add them again.
    common::duration removedRetention = std::chrono::minutes(2);
};

class endpoint_directory
{
public:
    explicit endpoint_directory(directory_options options) : m_options(options) { }

    /// Applies a registration; one older than the known registration of the endpoint is ignored.
    std::vector<directory_change> onRecord(const endpoint_record &record, common::instant now);
    /// Handles the removal of the registration of \p id.
    std::vector<directory_change> onRemoved(std::string_view id, common::instant now);
    /// Applies a complete listing: removes the endpoints that are not in \p ids.
    std::vector<directory_change> onListing(std::span<const std::string> ids, common::instant now);
    /// Marks an endpoint as leaving because it reported so itself or because another endpoint responded at its address.
    /// Later registrations of the same incarnation do not reset this.
    std::vector<directory_change> markLeaving(std::string_view id, common::instant now);
    /// Marks an endpoint as leaving because another instance reported it; ignored if the known incarnation is another
    /// one.
    std::vector<directory_change> onPeerReportedLeaving(std::string_view id, std::uint64_t startedAtMs,
                                                        common::instant now);
    /// Records the endpoint's request that this instance send it no work until \p until; never shortens a requested
    /// pause.
    void onPauseRequested(std::string_view id, common::instant until);

    /// Sets the evacuated data centres, whose endpoints accept no work.
    void setEvacuated(std::set<std::string, std::less<>> dataCentres) { m_evacuated = std::move(dataCentres); }
    /// While it is not known which data centres are evacuated, no endpoint accepts work.
    void setEvacuationsUnknown(bool areUnknown) { m_areEvacuationsUnknown = areUnknown; }
    bool isEvacuated(std::string_view dataCentre) const { return m_evacuated.contains(dataCentre); }
    bool areEvacuationsUnknown() const { return m_areEvacuationsUnknown; }

    void setStoreReachable(bool isReachable, common::instant now);
    /// The store was restored from a copy: registrations that are missing from it are kept for the grace time, and
    /// those of endpoints that were removed before count only if they are newer.
    void onStoreRestored(common::instant now);
    /// Removes expired entries whose grace time is over; called several times a second.
    std::vector<directory_change> advance(common::instant now);

    /// Endpoints of \p service that accept work, sorted by id.
    std::vector<const endpoint_record *> usable(std::string_view service) const;
    /// The endpoint if it accepts work, otherwise nullptr.
    const endpoint_record *findUsable(std::string_view id) const;
    /// End of the requested pause of the endpoint; a time in the past when there is none.
    common::instant pausedUntil(std::string_view id) const;
    /// Ids of the endpoints registered at \p address, including leaving ones.
    std::vector<std::string> idsAt(std::string_view address) const;
    bool isLeaving(std::string_view id) const;
    /// Service of \p id; empty for an unknown endpoint.
    std::string_view serviceOf(std::string_view id) const;
    /// Start of the known incarnation of \p id in Unix milliseconds; 0 for an unknown endpoint.
    std::uint64_t startedAtMsOf(std::string_view id) const;
    /// The registrations believed to be in the store, sorted by id. Expired entries are not included; leaving endpoints
    /// have the state draining.
    std::vector<endpoint_record> records() const;
    std::size_t size() const { return m_entries.size(); }

    /// Whether registrations may be missing because of the store: it is unreachable, or was unreachable or restored a
    /// moment ago.
    bool isStoreUnreliable(common::instant now) const;

private:
    struct entry {
        endpoint_record record;
        bool isLeaving = false;
        std::optional<common::instant> expiredAt; ///< its registration was removed during an outage of the store
        common::instant pausedUntil;
    };

    struct removed_entry {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        common::instant removedAt;
        bool wasLeaving = false;
        common::instant pausedUntil;
        bool isBeforeRestore = false; ///< the same record may be read again from the copy
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
    std::set<std::string, std::less<>> m_evacuated;
    bool m_areEvacuationsUnknown = false;
    bool m_isStoreReachable = false;
    std::optional<common::instant> m_storeLostAt;
    /// End of the last outage that was long enough for registrations to expire, or of the last restore.
    std::optional<common::instant> m_storeRecoveredAt;
};

} // namespace masticlever::catalog
