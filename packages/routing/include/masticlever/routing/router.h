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
/// Chooses the endpoint for a stage call by this instance's calls in flight, the reported load weighted by its age,
/// prefix affinity, outlier ejection and slow start.

namespace masticlever::routing
{

/// The data of an endpoint that a policy chooses by.
struct candidate {
    std::string name;
    std::string address;
    std::string dataCentre;
    std::size_t slots = 1;
    std::size_t inFlight = 0; ///< calls of this instance, exact
    double reportedLoad = 0; ///< calls of all instances, as last reported by the endpoint
    common::instant reportedAt;
    double slowStartWeight = 1; ///< below 1 during slow start
    bool checksFencing = false;
    std::size_t inFlightAtReport = 0; ///< calls of this instance when the report arrived
    std::uint64_t nameHash = 0; ///< stable hash of the name
};

struct choice_request {
    std::string_view pool;
    std::uint64_t prefixHash = 0; ///< 0: no affinity
    std::span<const std::string> exclude; ///< names of endpoints already tried for this stage
    std::uint64_t random = 0; ///< 64 random bits for this choice
    common::instant now;
    bool repeatable = true; ///< false: the call is never used to probe an ejected endpoint
};

class choice_policy
{
public:
    virtual ~choice_policy() = default;
    /// Returns the index of one of \p candidates, which is not empty.
    virtual std::size_t choose(std::span<const candidate> candidates, const choice_request &request) = 0;
};

enum class policy_kind { random, round_robin, least_in_flight, two_choices, two_choices_aged, prefix_affinity };

std::unique_ptr<choice_policy> makePolicy(policy_kind kind);

/// Hashes the first bytes of a prompt for choice_request::prefixHash. Never returns 0.
std::uint64_t hashPrefix(std::string_view prompt);

enum class call_outcome { answered, failed, timed_out, cancelled };

struct router_options {
    policy_kind policy = policy_kind::prefix_affinity;
    std::size_t failuresToEject = 5; ///< consecutive failures
    std::size_t timeoutsToEject = 2; ///< consecutive timeouts
    double latencyRatioToEject = 4; ///< multiple of the median latency of the pool's other endpoints
    common::duration baseEjectionTime = std::chrono::seconds(5); ///< doubles with each failed probe
    common::duration maxEjectionTime = std::chrono::seconds(40);
    double maxUnavailableShare = 0.5; ///< largest share of a pool that may be out of use
    double unresponsiveFactor = 4; ///< multiple of the mean response delay after which an endpoint is avoided
    common::duration minUnresponsiveDelay = std::chrono::milliseconds(200); ///< lower bound of that time
    common::duration suspicionDuration = std::chrono::seconds(3); ///< after a report from another instance
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

    /// Replaces the endpoints by those of \p snapshot; endpoints that are already known keep their state.
    void update(const configuration::snapshot &snapshot, common::instant now);
    /// Sets whether the endpoint at \p address is leaving. A leaving endpoint gets no new calls.
    void setLeaving(std::string_view address, bool leaving);

    /// Returns the chosen endpoint, or nullopt if the pool has none left.
    std::optional<candidate> choose(const choice_request &request);

    void onSent(std::string_view endpoint, common::instant now);
    /// \p latency is used only for an answered call.
    void onEnded(std::string_view endpoint, call_outcome outcome, common::duration latency, common::instant now);
    /// The endpoint reported \p load, measured \p age ago. A report older than the last one is ignored.
    void onLoadReport(std::string_view endpoint, double load, common::duration age, common::instant now);

    /// The first token of a streamed answer arrived \p delay after the call was sent.
    void onProgress(std::string_view endpoint, common::duration delay, common::instant now);

    /// Returns the ejected endpoints whose ejection time is over, each once per ejection. The caller sends each an
    /// idempotent request (such as a status query) and reports its outcome to onProbed(), so that the endpoint can be
    /// reinstated without risking a caller's request.
    std::vector<candidate> dueProbes(common::instant now);
    void onProbed(std::string_view endpoint, bool answered, common::instant now);

    /// Returns the unresponsive or ejected endpoints to report to other instances, each at most once a second.
    std::vector<std::string> takeSuspects(common::instant now);
    /// Another instance reported \p endpoint as unresponsive or ejected: calls that must not be repeated avoid it for
    /// router_options::suspicionDuration or until it responds to this instance. Repeatable calls still use it, as they
    /// can be retried elsewhere.
    void onPeerSuspects(std::string_view endpoint, common::instant now);

    std::size_t poolSize(std::string_view pool) const;
    /// Total slots of the endpoints of \p pool that are neither draining, leaving nor ejected.
    std::size_t poolSlots(std::string_view pool) const;
    /// Estimated calls of all instances at these endpoints, running and queued, per slot.
    double poolUtilisation(std::string_view pool, common::instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::routing
