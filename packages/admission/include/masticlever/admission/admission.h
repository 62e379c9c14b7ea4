#pragma once

#include <masticlever/common/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Who may start now, who waits and who is refused: weighted fairness between teams, a queue bounded by time,
/// and refusal at the door when the deadline cannot be met.

namespace masticlever::admission
{

using ticket = std::uint64_t;

struct entry_request {
    std::string_view team;
    double weight = 1; ///< the team's share under contention
    std::size_t teamLimit = 64; ///< in flight per instance
    std::string_view pipeline;
    common::duration remaining{}; ///< until the caller's deadline
    common::duration expectedService{}; ///< likely time of all stages, without waiting
};

enum class refusal_reason { deadline_unreachable, team_limit, queue_timeout, stopping };

struct decision {
    enum class verdict { admitted, queued, refused };

    verdict outcome = verdict::refused;
    ticket id = 0; ///< of an admitted or queued request
    refusal_reason reason = refusal_reason::deadline_unreachable;
    common::duration retryAfter{}; ///< of a refused request
};

/// The later end of a queued request.
struct queue_event {
    ticket id = 0;
    bool admitted = false;
    refusal_reason reason = refusal_reason::queue_timeout;
    common::duration retryAfter{};
};

struct admission_options {
    std::size_t capacity = 64; ///< requests in flight on this instance at first
    std::size_t minimumCapacity = 4;
    common::duration queueLimit = std::chrono::milliseconds(1500); ///< longest wait of a queued request
};

class controller
{
public:
    explicit controller(admission_options options);
    ~controller();
    controller(controller &&) noexcept;
    controller &operator=(controller &&) noexcept;

    decision request(const entry_request &entry, common::instant now);
    /// An admitted request has ended; \p metDeadline feeds the capacity estimate.
    void onFinished(ticket id, bool metDeadline, common::instant now);
    /// A queued request whose caller has gone.
    void cancel(ticket id);
    /// Capacity of the pools behind this instance, as the router sees it.
    void setCapacity(std::size_t capacity);

    /// Queued requests that start or are refused now.
    std::vector<queue_event> poll(common::instant now);
    /// When poll() next has something to do without another event.
    common::instant nextWakeUp() const;

    std::size_t inFlight() const;
    std::size_t queued() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::admission
