#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/snapshot.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Endpoint choice for a stage call: in flight as known here, reported load weighted by its age, prefix affinity,
/// outlier ejection and slow start.

namespace masticlever::routing
{

/// An endpoint as a policy sees it.
struct candidate {
    std::string name;
    std::string address;
    std::string dataCentre;
    std::size_t slots = 1;
    std::size_t inFlight = 0; ///< calls of this instance, known exactly
    double reportedLoad = 0; ///< calls of the whole fleet that the endpoint last reported
    common::instant reportedAt;
    double startWeight = 1; ///< below 1 during slow start
    bool checksFencing = false;
    std::size_t inFlightAtReport = 0; ///< calls of this instance when the report came
    std::uint64_t nameHash = 0; ///< stable hash of the name
};

struct choice_request {
    std::string_view pool;
    std::uint64_t prefixHash = 0; ///< 0: no affinity
    std::span<const std::string> exclude; ///< names of endpoints that this stage has tried
    std::uint64_t random = 0; ///< 64 random bits for this choice
    common::instant now;
    bool repeatable = true; ///< false: the call is never used as a probe of an ejected endpoint
};

/// Picks one of \p candidates, which is not empty; returns its index.
class choice_policy
{
public:
    virtual ~choice_policy() = default;
    virtual std::size_t choose(std::span<const candidate> candidates, const choice_request &request) = 0;
};

enum class policy_kind { random, round_robin, least_in_flight, two_choices, two_choices_aged, prefix_affinity };

std::unique_ptr<choice_policy> makePolicy(policy_kind kind);

/// Hash of the first bytes of a prompt, for choice_request::prefixHash; never 0.
std::uint64_t hashPrefix(std::string_view prompt);

enum class call_outcome { answered, failed, timed_out, cancelled };

struct router_options {
    policy_kind policy = policy_kind::prefix_affinity;
    std::size_t failuresToEject = 5; ///< consecutive failures
    std::size_t timeoutsToEject = 2; ///< consecutive timeouts
    double latencyToEject = 4; ///< times the median latency of the pool's other endpoints
    common::duration ejectFor = std::chrono::seconds(5); ///< doubles with each failed probe
    common::duration longestEjection = std::chrono::seconds(40);
    double ejectedShareLimit = 0.5; ///< floor: at most this share of a pool is out
    double silenceFactor = 4; ///< times the usual time to a sign of life after which an endpoint is avoided
    common::duration shortestSilence = std::chrono::milliseconds(200);
    common::duration suspicionFor = std::chrono::seconds(3); ///< after another instance's word
    common::duration slowStart = std::chrono::seconds(10);
    std::size_t subsetSize = 0; ///< endpoints of a pool that this instance uses; 0: all
    std::string instanceName{}; ///< selects the subset
};

class router
{
public:
    explicit router(router_options options);
    ~router();
    router(router &&) noexcept;
    router &operator=(router &&) noexcept;

    /// Takes over endpoints of \p snapshot; state of known ones is kept.
    void update(const configuration::snapshot &snapshot, common::instant now);
    /// A leaving endpoint gets no new work.
    void setLeaving(std::string_view address, bool leaving);

    /// The chosen endpoint, or nothing when the pool has none left.
    std::optional<candidate> choose(const choice_request &request);

    void onSent(std::string_view endpoint, common::instant now);
    /// \p latency is that of an answered call.
    void onEnded(std::string_view endpoint, call_outcome outcome, common::duration latency, common::instant now);
    /// \p load as reported by the endpoint, \p age as stated in the report.
    void onLoadReport(std::string_view endpoint, double load, common::duration age, common::instant now);

    /// A call shows that it is running, \p delay after it was sent: the first token of a stream.
    void onProgress(std::string_view endpoint, common::duration delay, common::instant now);

    /// Ejected endpoints whose time is over: an idempotent request to each (a status query, say), reported by
    /// onProbed(), brings it back without risking a caller's request. Each is named once per ejection.
    std::vector<candidate> dueProbes(common::instant now);
    void onProbed(std::string_view endpoint, bool answered, common::instant now);

    /// Endpoints that are silent or ejected here and were not named in the last second, for other instances.
    std::vector<std::string> takeSuspects(common::instant now);
    /// Another instance suspects \p endpoint: calls that may not be repeated avoid it for a while, or until it
    /// answers here. Repeatable calls go on, as they can find out without harm.
    void onPeerSuspects(std::string_view endpoint, common::instant now);

    std::size_t poolSize(std::string_view pool) const;
    /// Slots of all endpoints of \p pool that take work.
    std::size_t poolSlots(std::string_view pool) const;
    /// Estimated calls of the whole fleet at these endpoints, running and queued there, per slot.
    double poolUtilisation(std::string_view pool, common::instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::routing
