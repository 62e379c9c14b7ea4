#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

/// \file
/// The queue of one stage service, on the instance that owns it (its home). Batches pieces, which are single stage
/// results, into calls, assigns the calls to endpoints and rejects pieces that cannot be computed in time. Batching is
/// needed because calls of one piece each would exhaust the endpoints under load.

namespace masticlever::stages
{

/// Rate limit of an endpoint for the calls of this queue.
struct call_rate_limit {
    std::string endpointId;
    double callsPerSecond = 0; ///< greater than 0
    common::instant nextCallAt; ///< no call may be sent before
};

/// Asks for results of one stage on behalf of one request.
struct piece_request {
    std::uint64_t owner = 0; ///< receives the results
    std::uint64_t job = 0; ///< number that the owner gave the request
    std::string requestId;
    std::size_t stage = 0;
    std::vector<std::size_t> pieces;
    std::string key;
    protocol::handle_list inputs;
    std::string dataCentre; ///< holds the inputs, or needs the results if there are no inputs; empty: any
    double transferBytes = 0; ///< transferred between data centres if all pieces are computed elsewhere
    int priority = 0; ///< 0 is the highest
    double resultBytes = 0; ///< of one piece
    common::duration downstreamTime{}; ///< expected time from the end of this stage to the end of the request
    common::instant objective; ///< latency objective of the request
    common::instant deadline; ///< of the request
};

struct queued_piece {
    std::uint64_t owner = 0;
    std::uint64_t job = 0;
    std::size_t piece = 0;
    std::size_t stage = 0;
};

struct batch_call {
    std::uint64_t number = 0;
    std::string endpointId;
    std::string address;
    std::vector<protocol::batch_item> orders;
    std::size_t inputBytes = 0; ///< listed for all pieces
    std::size_t remotePieces = 0; ///< pieces above the locality threshold whose data centre is not the endpoint's
    common::instant callTimeoutAt; ///< when the call times out
};

struct finished_piece {
    queued_piece piece;
    protocol::piece_result result;
};

struct batch_queue_options {
    double slowFactor = 2.5; ///< endpoints slower than the fastest by more than this factor get no calls
    double callTimeoutFactor = 3; ///< multiple of the expected call time
    /// Added to the multiple of the expected call time, for network delay and the endpoint's own queue.
    common::duration callTimeoutMargin = std::chrono::milliseconds(300);
    common::duration backoffAfterFailure = std::chrono::milliseconds(500); ///< for an endpoint that did not answer
    common::duration backoffAfterRejection = std::chrono::milliseconds(60); ///< for an endpoint that was full
    double learningRate = 0.2; ///< weight of one call in the moving average of an endpoint's slowness
    common::duration slownessHalfLife = std::chrono::seconds(2); ///< while an endpoint is not used
    /// Requests that would transfer more bytes between data centres wait for an endpoint in their own, if their
    /// objective allows it. Weighs the cost of transferred bytes against the cost of a late answer.
    double localityThresholdBytes = 200000;
    common::duration arrivalWindow = std::chrono::milliseconds(1000); ///< the load is measured over this time
    /// Minimum share of the endpoints' time assumed to be left for requests that miss their objective.
    double minSpareShare = 0.1;
    /// A call lists the inputs of each of its pieces. It has fewer pieces than a batch if they would exceed this.
    std::size_t callInputBytes = 524288;
    /// A call may always list inputs up to this size, so that usual ones don't wait for large ones to be sent.
    std::size_t smallCallInputBytes = 16384;
};

class batch_queue
{
public:
    batch_queue(batch_queue_options options, catalog::batch_limits limits);

    void setLimits(const catalog::batch_limits &limits) { m_limits = limits; }
    void setEndpoints(std::span<const catalog::endpoint_record *const> endpoints);

    /// The endpoint asked for no calls before \p until; a time in the past ends the requested pause.
    void onPauseRequested(const std::string &endpointId, common::instant until);

    /// Sets the time that work takes at the endpoint now, relative to its usual time, as it reports it.
    void setPace(const std::string &endpointId, double pace);

    /// Replaces the limits of all endpoints; those that are not listed have none.
    void setRateLimits(std::span<const call_rate_limit> limits);
    bool hasRateLimits() const { return m_hasRateLimits; }

    void onPieceRequest(piece_request request, common::instant now);
    void onCancel(std::uint64_t owner, std::uint64_t job);
    void onOwnerGone(std::uint64_t owner);
    /// Results were released by their owner. Returns whether an endpoint has more free space now.
    bool onReleased(std::span<const std::string> handles);

    /// Forms the calls that can be sent now. They list inputs of \p inputBytes in total, besides those of small calls.
    std::vector<batch_call> takeCalls(common::instant now,
                                      std::size_t inputBytes = std::numeric_limits<std::size_t>::max());
    /// Whether \p results can be the answer to the call: one for each piece, and no handle that the endpoint has named
    /// before. An answer that an endpoint repeats names those of an earlier call.
    bool isAnswerTo(std::uint64_t call, std::span<const protocol::piece_result> results) const;
    /// A call was answered; \p results are in the order of its pieces.
    std::vector<finished_piece> onAnswer(std::uint64_t call, std::span<const protocol::piece_result> results,
                                         common::instant now);
    /// The endpoint rejected the call; its pieces are queued again and the endpoint backs off briefly.
    void onRejected(std::uint64_t call, common::instant now);
    /// The call failed or timed out; its pieces are queued again and the endpoint backs off.
    void onLost(std::uint64_t call, common::instant now);
    /// Removes and returns the pieces that cannot meet their deadline.
    std::vector<finished_piece> takeInfeasible(common::instant now);

    /// Removes all waiting pieces and returns them as failed, so that their owners order them from another home.
    std::vector<finished_piece> failWaitingPieces();

    std::size_t waitingPieces() const { return m_waitingPieces; }
    /// Expected time to compute a piece of that priority that is ordered now.
    common::duration expectedDelay(int priority, common::instant now) const;

private:
    struct held_result {
        double bytes = 0;
        common::instant until;
    };

    struct endpoint_entry {
        catalog::endpoint_record record;
        std::size_t calls = 0;
        double slowness = 1; ///< moving average of actual over expected call time, without the effect of the pace
        double pace = 1; ///< reported by the endpoint; 2: work takes twice as long as usual
        common::instant lastUsedAt;
        common::instant backoffUntil;
        common::instant pausedUntil; ///< requested by the endpoint, hence certain; counts as missing capacity
        std::optional<double> callsPerSecond; ///< the rate limit, if it has one
        common::instant nextCallAt; ///< by the rate limit
        bool isListed = true;
        std::map<std::string, held_result, std::less<>> heldResults; ///< by handle
        std::deque<std::uint64_t> namedHandles; ///< hashes of the newest handles, oldest first
        std::unordered_set<std::uint64_t> namedHandleSet; ///< the same, for look-ups
        double reserved = 0; ///< bytes for results of calls in flight
    };

    static void rememberHandle(endpoint_entry &endpoint, std::string_view handle);

    struct request_entry {
        piece_request request;
        bool missesObjective = false; ///< if it starts after the requests ahead of it
        bool canWaitForLocal = false; ///< can wait for an endpoint in its data centre and meet its objective
        std::vector<std::size_t> waiting; ///< pieces that are queued
        std::size_t inFlight = 0; ///< number of pieces in calls

        std::size_t inputBytes() const; ///< that a call lists for one piece
    };

    struct call_entry {
        std::string endpointId;
        common::instant sentAt;
        common::duration expected{};
        double pace = 1; ///< of the endpoint when the call was sent
        double reserved = 0;
        std::vector<queued_piece> pieces;
        std::vector<std::uint64_t> requests; ///< key in m_requests of each piece
    };

    struct capacity {
        double immediatePieces = 0; ///< pieces that idle endpoints can take now
        common::duration timeUntilFree{}; ///< mean time until a call slot becomes free
    };

    using request_map = std::map<std::uint64_t, request_entry>;

    common::duration baseCallTime(std::size_t pieces) const;
    common::duration likelyCallTime(std::size_t pieces) const;
    common::duration expectedCallTime(const endpoint_entry &endpoint, std::size_t pieces, common::instant now) const;
    std::vector<endpoint_entry *> idleEndpoints(common::instant now);
    double currentSlowness(const endpoint_entry &endpoint, common::instant now) const;
    double slownessLimit(common::instant now) const;
    std::size_t freeCallSlots(const endpoint_entry &endpoint) const;
    common::duration timeUntilAvailable(common::instant now) const;
    static common::duration timeUntilNextCall(const endpoint_entry &endpoint, common::instant now);
    bool countsAsCapacity(const endpoint_entry &endpoint, bool areAllPaused, common::instant now) const;
    static common::duration remainingTime(const call_entry &call, common::instant now);
    bool prefersLocal(const piece_request &request) const;
    bool isRemote(const piece_request &request, const endpoint_entry &endpoint) const;
    std::map<std::string_view, std::vector<common::instant>> slotFreeTimes(common::instant now) const;
    static bool isEligible(const request_entry &entry, const endpoint_entry &endpoint);
    double freeBytes(const endpoint_entry &endpoint) const;
    double piecesPerMicrosecond(common::instant now) const;
    std::vector<request_map::iterator> rankedRequests(const endpoint_entry &endpoint);
    std::vector<request_map::iterator> waitingByPriority();
    capacity currentCapacity(common::instant now) const;
    static common::instant expectedStart(double piecesAhead, const capacity &current, double rate, common::instant now);
    double spareShare(double rate, common::instant now) const;
    std::vector<request_map::iterator> plan(common::instant now);
    void planLocalWaits(const std::vector<request_map::iterator> &waiting, common::instant now);
    /// Number of pieces that the call may still take of a request.
    std::size_t placesFor(const request_entry &candidate, const batch_call &call, std::size_t inputBytes) const;
    std::optional<batch_call> fillCall(endpoint_entry &endpoint, std::size_t inputBytes, common::instant now);
    std::optional<call_entry> endCall(std::uint64_t call);
    void requeue(const call_entry &call);
    /// The list that another entry of the same job and stage has, if it is equal.
    protocol::handle_list findSharedInputs(const piece_request &request) const;
    void backOff(const std::string &endpointId, common::instant until);
    void removeRequest(request_map::iterator found);
    void removeRequests(const std::function<bool(const piece_request &)> &matches);
    std::vector<finished_piece> failRequests(std::span<const request_map::iterator> requests,
                                             protocol::piece_failure reason);
    void expireResults(endpoint_entry &endpoint, common::instant now);

    batch_queue_options m_options;
    catalog::batch_limits m_limits;
    std::map<std::string, endpoint_entry, std::less<>> m_endpoints;
    request_map m_requests; ///< in order of arrival
    std::map<std::uint64_t, call_entry> m_calls;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastCall = 0;
    std::size_t m_waitingPieces = 0;
    bool m_hasRateLimits = false;
    std::deque<std::pair<common::instant, std::size_t>> m_arrivals; ///< time and number of pieces, within the window
};

} // namespace masticlever::stages
