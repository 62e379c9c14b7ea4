#include "detail/position.h"

#include <masticlever/common/json.h>
#include <masticlever/runs/run.h>

#include <algorithm>
#include <utility>

namespace masticlever::runs
{

namespace
{

constexpr common::duration tokenGapTimeout = std::chrono::seconds(1);
constexpr common::duration backgroundCallTimeout = std::chrono::seconds(30);
constexpr common::duration initialBackoff = std::chrono::milliseconds(200);
constexpr common::duration maxBackoff = std::chrono::seconds(5);
constexpr common::duration retryAfterFailure = std::chrono::seconds(1);
constexpr std::uint32_t maxBackoffDoublings = 5;
constexpr std::size_t hashedPrefixBytes = 256;

routing::call_outcome toRoutingOutcome(call_status status)
{
    switch (status) {
    case call_status::answered:
        return routing::call_outcome::answered;
    case call_status::refused:
        return routing::call_outcome::cancelled;
    case call_status::unsent:
    case call_status::failed:
    case call_status::invalid:
        break;
    }
    return routing::call_outcome::failed;
}

} // namespace

common::duration run::remaining(common::moment at) const
{
    if (m_background) {
        return backgroundCallTimeout;
    }
    return std::max(common::duration{}, m_request.deadline - at.now);
}

std::optional<routing::candidate> run::choose(common::moment at)
{
    const bool hasPrefixAffinity = stage().streamed;
    const std::string_view prefix = std::string_view(m_request.body).substr(0, hashedPrefixBytes);
    return m_environment.router.choose({.pool = stage().pool,
                                        .prefixHash = hasPrefixAffinity ? routing::hashPrefix(prefix) : 0,
                                        .exclude = m_triedEndpoints,
                                        .random = m_environment.random.next(),
                                        .now = at.now,
                                        .repeatable = stage().repeatable});
}

void run::sendAttempt(common::moment at)
{
    auto target = choose(at);
    if (!target && !m_triedEndpoints.empty()) {
        m_triedEndpoints.clear();
        target = choose(at);
    }
    if (!target) {
        if (m_attempts.empty()) {
            finishWithoutResult("no endpoint of pool '" + stage().pool + "' takes work", retryAfterFailure, at);
        }
        return;
    }
    const common::duration timeLeft = remaining(at);
    const common::duration timeout = m_background ? timeLeft : m_environment.planner.callTimeout(stageRef(), timeLeft);
    if (!isTextForwarded()) {
        m_text.clear();
    }
    send_call call = beginCall(*target, at.now + timeout, at);
    call.streamed = stage().streamed;
    m_phase = phase::calling;
    if (m_pipeline.hedging && m_attempts.size() == 1 && m_text.empty()) {
        const auto delay = m_environment.planner.hedgeDelay(stageRef());
        m_hedgeAt = delay ? at.now + *delay : common::instant::max();
    }
    m_actions.emplace_back(std::move(call));
}

send_call run::beginCall(const routing::candidate &target, common::instant timeoutAt, common::moment at)
{
    const common::call_id id = m_environment.callIds.next();
    m_environment.router.onSent(target.name, at.now);
    m_attempts.push_back({.id = id, .endpoint = target.name, .sentAt = at.now, .timeoutAt = timeoutAt});
    m_triedEndpoints.push_back(target.name);
    ++m_callsByStage[m_stage];
    return {.id = id,
            .stage = m_stage,
            .stageName = stage().name,
            .endpoint = target.name,
            .address = target.address,
            .path = stage().path,
            .body = detail::makeCallBody(m_pipeline, m_stage, m_request.body, m_results),
            .priority = m_request.priority,
            .remaining = remaining(at)};
}

void run::onText(const common::call_id &id, std::string_view text, common::moment at)
{
    const auto isThisCall = [&](const attempt &candidate) { return candidate.id == id; };
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), isThisCall);
    if (found == m_attempts.end() || m_phase != phase::calling) {
        return;
    }
    if (found->firstByteAt == common::instant::max()) {
        found->firstByteAt = at.now;
        m_environment.router.onProgress(found->endpoint, at.now - found->sentAt, at.now);
    }
    found->timeoutAt = at.now + tokenGapTimeout;
    while (m_attempts.size() > 1) {
        // The first call that yields text is kept, the others are cancelled.
        const std::size_t other = isThisCall(m_attempts.front()) ? 1 : 0;
        m_actions.emplace_back(cancel_call{m_attempts[other].id});
        dropAttempt(other, routing::call_outcome::cancelled, at);
    }
    m_hedgeAt = common::instant::max();
    const auto added = newText(m_attempts.front(), text);
    if (!added) {
        onTextMismatch(at);
        return;
    }
    m_text += *added;
    if (isTextForwarded() && !added->empty()) {
        m_actions.emplace_back(stream_text{std::string(*added)});
    }
}

std::optional<std::string_view> run::newText(attempt &call, std::string_view text) const
{
    const std::size_t overlap = std::min(text.size(), m_text.size() - call.matchedBytes);
    if (text.substr(0, overlap) != std::string_view(m_text).substr(call.matchedBytes, overlap)) {
        return std::nullopt;
    }
    call.matchedBytes += text.size();
    return text.substr(overlap);
}

void run::onTextMismatch(common::moment at)
{
    cancelAttempts(at);
    finishWithoutResult("the stream broke, and another endpoint's text differs from what was already sent",
                        retryAfterFailure, at);
}

bool run::isTextForwarded() const
{
    return m_request.wantsStream && isLastStage() && !m_replied;
}

void run::dropAttempt(std::size_t index, routing::call_outcome outcome, common::moment at)
{
    const attempt &call = m_attempts[index];
    const common::instant firstByte = std::min(call.firstByteAt, at.now);
    m_environment.router.onEnded(call.endpoint, outcome, firstByte - call.sentAt, at.now);
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(index));
}

void run::cancelAttempts(common::moment at)
{
    while (!m_attempts.empty()) {
        m_actions.emplace_back(cancel_call{m_attempts.back().id});
        dropAttempt(m_attempts.size() - 1, routing::call_outcome::cancelled, at);
    }
}

void run::onAttemptEnded(std::size_t index, const call_end &ended, common::moment at)
{
    const attempt call = m_attempts[index];
    dropAttempt(index, toRoutingOutcome(ended.status), at);
    if (ended.status != call_status::answered) {
        retryOrFinish("stage '" + stage().name + "' failed at its endpoint",
                      std::max(ended.retryAfter, retryAfterFailure), at);
        return;
    }
    if (call.matchedBytes < m_text.size()) {
        onTextMismatch(at);
        return;
    }
    const common::instant firstByte = std::min(call.firstByteAt, at.now);
    m_environment.planner.onAnswered(stageRef(), firstByte - call.sentAt, at.now - call.sentAt);
    cancelAttempts(at);
    m_hedgeAt = common::instant::max();
    if (!stage().streamed) {
        completeStage(ended.body, at);
        return;
    }
    std::string text = std::exchange(m_text, {});
    completeStage(isLastStage() ? std::move(text) : common::quoteJson(text), at);
}

void run::retryOrFinish(std::string detail, common::duration retryAfter, common::moment at)
{
    if (!m_attempts.empty()) {
        return;
    }
    if (m_background) {
        backOff(at);
        return;
    }
    const bool hasTime = remaining(at) > m_environment.planner.expectedFrom(stageRef());
    if (hasTime && m_environment.planner.takeRetry(stageRef())) {
        sendAttempt(at);
        return;
    }
    finishWithoutResult(std::move(detail), retryAfter, at);
}

void run::backOff(common::moment at)
{
    const common::duration backoff
        = std::min(maxBackoff, initialBackoff * (1U << std::min(m_backoffs, maxBackoffDoublings)));
    ++m_backoffs;
    m_triedEndpoints.clear();
    m_phase = phase::backing_off;
    m_wakeUp = at.now + backoff;
}

void run::retryStage(common::moment at)
{
    if (stage().repeatable) {
        sendAttempt(at);
        return;
    }
    m_epoch = m_environment.ledger.find(m_request.key, at.wall).at;
    beginClaim(at);
}

void run::onRepeatableTimer(common::moment at)
{
    for (std::size_t i = m_attempts.size(); i-- > 0;) {
        if (at.now >= m_attempts[i].timeoutAt) {
            if (m_attempts[i].firstByteAt == common::instant::max()) {
                m_environment.planner.onAttemptTimeout(stageRef(), at.now - m_attempts[i].sentAt);
            }
            m_actions.emplace_back(cancel_call{m_attempts[i].id});
            dropAttempt(i, routing::call_outcome::timed_out, at);
        }
    }
    if (m_attempts.empty()) {
        retryOrFinish("stage '" + stage().name + "' timed out", retryAfterFailure, at);
        return;
    }
    if (at.now >= m_hedgeAt) {
        m_hedgeAt = common::instant::max();
        if (m_environment.planner.takeRetry(stageRef())) {
            sendAttempt(at);
        }
    }
}

} // namespace masticlever::runs
