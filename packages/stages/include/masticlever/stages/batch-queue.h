#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// The queue of one stage service at its home: which pieces go together into a call, to which endpoint, and which
/// can no longer be of use. Answers the load at which calls of one piece would use up the endpoints.

namespace masticlever::stages
{

/// One request's wish for results of one stage.
struct piece_wish {
    std::uint64_t owner = 0; ///< whom the results go to
    std::uint64_t job = 0; ///< the owner's number of the request
    std::string requestId;
    std::size_t stage = 0;
    std::vector<std::size_t> pieces;
    std::string key;
    std::vector<std::string> inputs;
    std::string dataCentre; ///< where the inputs are or, without inputs, the results are wanted; empty: anywhere
    double nearBytes = 0; ///< that move between data centres when all pieces are made elsewhere
    int priority = 0; ///< 0 is the most urgent
    double resultBytes = 0; ///< of one piece
    common::duration laterWork{}; ///< expected time of what follows the stage
    common::instant objective; ///< of the request
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
    std::vector<protocol::piece_order> orders;
    std::size_t farPieces = 0; ///< with dear inputs or results in another data centre
    common::instant giveUpAt; ///< the endpoint is taken for silent from then on
};

struct finished_piece {
    queued_piece piece;
    protocol::piece_result result;
};

struct batch_queue_options {
    double slowFactor = 2.5; ///< an endpoint slower than its equals by this factor gets work only when all are
    double giveUpFactor = 3; ///< of the expected time of a call
    common::duration giveUpSlack = std::chrono::milliseconds(300); ///< besides, for the links and the endpoint's queue
    common::duration restAfterFailure = std::chrono::milliseconds(500); ///< of an endpoint that did not answer
    common::duration restAfterRejection = std::chrono::milliseconds(60); ///< of an endpoint that was full
    double learningRate = 0.2; ///< weight of one call in the learnt speed
    common::duration forgetSlowness = std::chrono::seconds(2); ///< half-life while an endpoint is not used
    /// Pieces whose inputs or results have more bytes wait for an endpoint in the data centre where they are wanted, if
    /// their objective allows; from the price of bytes between data centres against that of a late answer.
    double dearBytes = 200000;
    common::duration arrivalWindow = std::chrono::milliseconds(1000); ///< over which the load is measured
    /// Least part of the endpoints' time that is expected to be left for requests that miss their objective.
    double leastLeftover = 0.1;
};

class batch_queue
{
public:
    batch_queue(batch_queue_options options, catalog::batch_limits limits);

    void setLimits(const catalog::batch_limits &limits) { m_limits = limits; }
    void setEndpoints(std::span<const catalog::endpoint_record *const> endpoints);

    /// The endpoint takes no call before \p until; in the past: it does.
    void onAskedQuiet(const std::string &endpointId, common::instant until);

    void onWish(piece_wish wish, common::instant now);
    void onCancel(std::uint64_t owner, std::uint64_t job);
    void onOwnerGone(std::uint64_t owner);
    /// Returns whether an endpoint has more room now.
    bool onReleased(std::span<const std::string> handles);

    /// Calls to send now.
    std::vector<batch_call> takeCalls(common::instant now);
    /// A call was answered; \p results are in the order of its pieces.
    std::vector<finished_piece> onAnswer(std::uint64_t call, std::span<const protocol::piece_result> results,
                                         common::instant now);
    /// The endpoint did not take the call: its pieces wait again.
    void onRejected(std::uint64_t call, common::instant now);
    /// No answer came; the pieces wait again and the endpoint rests.
    void onLost(std::uint64_t call, common::instant now);
    /// Pieces that can no longer be made in time; they are dropped.
    std::vector<finished_piece> takeHopeless(common::instant now);

    /// All pieces that wait, as failed ones: another home is to make them.
    std::vector<finished_piece> handBack();

    std::size_t waitingPieces() const { return m_waitingPieces; }
    /// Time until a piece of that priority that is ordered now would be made.
    common::duration expectedDelay(int priority, common::instant now) const;

private:
    struct held_result {
        double bytes = 0;
        common::instant until;
    };

    struct endpoint_entry {
        catalog::endpoint_record record;
        std::size_t calls = 0;
        double slowness = 1; ///< time of its calls over the expected time
        common::instant usedAt;
        common::instant restsUntil;
        common::instant quietUntil; ///< by its own word, hence certain
        bool isListed = true;
        std::map<std::string, held_result, std::less<>> held; ///< by handle
        double reserved = 0; ///< bytes of calls under way
    };

    struct wish_entry {
        piece_wish wish;
        bool isLate = false; ///< cannot make its objective behind those before it
        bool canWait = false; ///< for an endpoint in its data centre
        std::vector<std::size_t> waiting; ///< pieces in the queue
        std::size_t underWay = 0; ///< pieces in calls
    };

    struct call_entry {
        std::string endpointId;
        common::instant sentAt;
        common::duration expected{};
        double reserved = 0;
        std::vector<queued_piece> pieces;
        std::vector<std::uint64_t> wishes; ///< of each piece
    };

    struct capacity {
        double piecesAtOnce = 0; ///< that idle endpoints take now
        common::duration untilFree{}; ///< mean time until an endpoint is
    };

    using wish_map = std::map<std::uint64_t, wish_entry>;

    common::duration plainCall(std::size_t pieces) const;
    common::duration likelyCall(std::size_t pieces) const;
    common::duration expectedCall(const endpoint_entry &endpoint, std::size_t pieces, common::instant now) const;
    std::vector<endpoint_entry *> idleEndpoints(common::instant now);
    double slownessOf(const endpoint_entry &endpoint, common::instant now) const;
    double slownessLimit(common::instant now) const;
    std::size_t idlePlaces(const endpoint_entry &endpoint) const;
    common::duration untilAnyTakesCalls(common::instant now) const;
    bool mayTakeCalls(const endpoint_entry &endpoint, bool areAllQuiet, common::instant now) const;
    static common::duration timeLeft(const call_entry &call, common::instant now);
    bool isDear(const piece_wish &wish) const;
    bool isFar(const piece_wish &wish, const endpoint_entry &endpoint) const;
    std::map<std::string_view, std::vector<common::instant>> freeTimes(common::instant now) const;
    static bool isWantedAt(const wish_entry &entry, const endpoint_entry &endpoint);
    double freeBytes(const endpoint_entry &endpoint) const;
    double piecesPerMicrosecond(common::instant now) const;
    std::vector<wish_map::iterator> orderedWishes(const endpoint_entry &endpoint);
    std::vector<wish_map::iterator> waitingByUrgency();
    capacity presentCapacity(common::instant now) const;
    static common::instant startBehind(double pieces, const capacity &present, double rate, common::instant now);
    double leftover(double rate, common::instant now) const;
    std::vector<wish_map::iterator> plan(common::instant now);
    void planNear(const std::vector<wish_map::iterator> &waiting, common::instant now);
    std::optional<batch_call> fill(endpoint_entry &endpoint, common::instant now);
    std::optional<call_entry> endCall(std::uint64_t call);
    void requeue(const call_entry &call);
    void rest(const std::string &endpointId, common::instant until);
    void dropWish(wish_map::iterator found);
    void dropWishes(const std::function<bool(const piece_wish &)> &isMeant);
    std::vector<finished_piece> drop(std::span<const wish_map::iterator> wishes, protocol::piece_failure reason);
    void expireResults(endpoint_entry &endpoint, common::instant now);

    batch_queue_options m_options;
    catalog::batch_limits m_limits;
    std::map<std::string, endpoint_entry, std::less<>> m_endpoints;
    wish_map m_wishes; ///< in the order of arrival
    std::map<std::uint64_t, call_entry> m_calls;
    std::uint64_t m_lastWish = 0;
    std::uint64_t m_lastCall = 0;
    std::size_t m_waitingPieces = 0;
    std::deque<std::pair<common::instant, std::size_t>> m_arrivals; ///< pieces, within the window
};

} // namespace masticlever::stages
