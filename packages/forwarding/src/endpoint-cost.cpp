#include <masticlever/forwarding/endpoint-cost.h>

#include <masticlever/common/time.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace masticlever::forwarding
{

namespace
{

double sharedTokens(const protocol::request_attributes &request)
{
    double shared = 0;
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        shared += static_cast<double>(request.prompt[i].tokens);
    }
    return shared;
}

double milliseconds(common::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Weight of what was reported \p age ago.
double weightAt(common::duration age, const endpoint_cost_options &options)
{
    return std::exp2(-std::max(0.0, milliseconds(age)) / options.halfLifeMs);
}

double paceOf(const cost_candidate &candidate, const endpoint_cost_options &options)
{
    constexpr double slowest = 8; // one wrong report does not exclude an endpoint
    const double weight = candidate.view.isKnown ? weightAt(candidate.view.age, options) : 0;
    const double pace = candidate.usualPace + weight * (candidate.view.pace - candidate.usualPace);
    return std::clamp(pace, 1 / slowest, slowest);
}

} // namespace

call_tokens tokensOf(const protocol::request_attributes &request, bool isCached)
{
    const auto prompt = static_cast<double>(request.promptTokens);
    return {std::max(0.0, prompt - (isCached ? sharedTokens(request) : 0)),
            prompt + static_cast<double>(request.outputTokens)};
}

double costOf(const cost_candidate &candidate, const protocol::request_attributes &request, bool isCached,
              bool isRepeat, const endpoint_cost_options &options)
{
    constexpr double bytesPerMegabyte = 1e6;
    const routing::endpoint_view &view = candidate.view;
    const double pace = paceOf(candidate, options);
    const double pending = view.othersPendingTokens * weightAt(view.age, options) + candidate.tokens.pending;
    const double inFlight = view.othersInFlight + static_cast<double>(candidate.inFlight);
    const double own = tokensOf(request, isCached).pending / options.tokensPerMs * pace;
    const double wait = pending / options.tokensPerMs * pace;
    const double excess = std::max(0.0, inFlight + 1 - static_cast<double>(candidate.record->slots));
    const double reprocessing = sharedTokens(request) / options.tokensPerMs * options.reprocessingPrice;
    const double reprocessed = isCached ? 0 : reprocessing;
    const double transfer = candidate.remoteBytes / bytesPerMegabyte * options.tokensPerMegabyte / options.tokensPerMs;
    const auto evidence = static_cast<double>(view.evidence);
    const double failure = view.failureShare * evidence / (evidence + options.doubtfulEvidence)
        * (options.failureMs + reprocessing) * (isRepeat ? options.repeatFactor : 1);
    return wait + own + reprocessed + transfer + failure + inFlight * options.msPerRunning * pace
        + excess * options.msPerExcess * pace;
}

bool hasRoom(const routing::endpoint_view &view, double own, double needed, std::uint64_t cacheTokens,
             const endpoint_cost_options &options)
{
    const auto capacity = static_cast<double>(cacheTokens);
    if (cacheTokens == 0) {
        return true;
    }
    if (view.isKnown) {
        // What others have sent since the report is taken to be what they send in that time to fill it as it is.
        const double growth = 1 + milliseconds(view.age) / 1000;
        return view.othersTokens * growth + own + needed <= options.memoryShare * capacity;
    }
    // A single request fits into what the other instances leave free.
    return own + needed <= options.unseenShare * capacity
        || (own <= 0 && needed <= (1 - options.memoryShare) * capacity);
}

std::size_t cheapest(std::vector<cost_candidate> &candidates, const protocol::request_attributes &request,
                     std::uint64_t cacheTokens, bool isRepeat, const endpoint_cost_options &options)
{
    const bool hasShared = sharedTokens(request) > 0;
    const double needed = tokensOf(request, false).held;
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    const auto byRank = [&](std::size_t i) { return std::tuple(candidates[i].rank, candidates[i].tieBreak); };
    const std::size_t hashed = hasShared ? std::min(options.hashedChoices, order.size()) : 0;
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(hashed), {}, byRank);
    const std::size_t cached = hashed > 0 ? order.front() : candidates.size();
    const auto rest = order.begin() + static_cast<std::ptrdiff_t>(hashed);
    std::sort(rest, order.end(),
              [&](std::size_t l, std::size_t r) { return candidates[l].tieBreak < candidates[r].tieBreak; });

    std::size_t best = candidates.size();
    std::tuple<bool, double> lowest;
    std::size_t considered = 0;
    for (const std::size_t i : order) {
        if (considered >= hashed + options.randomChoices) {
            break;
        }
        const cost_candidate &candidate = candidates[i];
        if (!hasRoom(candidate.view, candidate.tokens.held, needed, cacheTokens, options)) {
            continue;
        }
        considered += candidate.isUnhealthy ? 0 : 1;
        const std::tuple cost(candidate.isUnhealthy, costOf(candidate, request, i == cached, isRepeat, options));
        if (best == candidates.size() || cost < lowest) {
            best = i;
            lowest = cost;
        }
    }
    return best;
}

} // namespace masticlever::forwarding
