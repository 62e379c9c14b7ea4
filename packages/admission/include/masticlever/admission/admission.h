#pragma once

#include <masticlever/common/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Admits, queues or refuses requests. Shares the capacity between teams by weight, limits the time in the queue, and
/// immediately refuses a request whose deadline cannot be met.

namespace masticlever::admission
{

using ticket = std::uint64_t;

struct admission_request {
    std::string_view team;
    double weight = 1; ///< the team's relative share when requests are queued
    std::size_t teamLimit = 64; ///< in flight and queued on this instance
    std::string_view pipeline;
    common::duration remaining{}; ///< time to the caller's deadline
    common::duration expectedService{}; ///< expected time of all stages, without queueing
};

enum class refusal_reason { deadline_unreachable, team_limit, queue_timeout, stopping };

struct decision {
    enum class admission_outcome { admitted, queued, refused };

    admission_outcome outcome = admission_outcome::refused;
    ticket id = 0; ///< of an admitted or queued request
    refusal_reason reason = refusal_reason::deadline_unreachable;
    common::duration retryAfter{}; ///< of a refused request
};

/// Reports that a queued request was admitted or refused.
struct queue_event {
    ticket id = 0;
    bool admitted = false;
    refusal_reason reason = refusal_reason::queue_timeout;
    common::duration retryAfter{};
};

struct admission_options {
    std::size_t capacity = 64; ///< initial upper bound of requests in flight on this instance
    std::size_t minimumCapacity = 4;
    common::duration queueLimit = std::chrono::milliseconds(1500); ///< maximum time in the queue
};

class controller
{
public:
    explicit controller(admission_options options);
    ~controller();
    controller(controller &&) noexcept;
    controller &operator=(controller &&) noexcept;

    decision request(const admission_request &entry, common::instant now);
    /// An admitted request has ended; \p metDeadline adapts the capacity.
    void onFinished(ticket id, bool metDeadline, common::instant now);
    /// Removes a queued request whose caller has disconnected.
    void cancel(ticket id);
    /// Sets the upper bound of the capacity, which is this instance's share of the pools that its requests use.
    void setCapacity(std::size_t capacity);

    /// Admits or refuses queued requests as of \p now and returns one event for each.
    std::vector<queue_event> poll(common::instant now);
    /// Time at which poll() has to be called next if nothing else happens before; instant::max() if nothing is queued.
    common::instant nextWakeUp() const;

    std::size_t inFlight() const;
    std::size_t queued() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::admission
