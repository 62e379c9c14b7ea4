#include "detail/position.h"

#include <masticlever/runs/run.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace masticlever::runs
{

namespace
{

// Not below the ledger's refusalHold: after a refusal or a longer outage the key cannot be claimed until it has passed.
constexpr common::duration retryAfterOutage = std::chrono::seconds(7);
constexpr common::duration retryAfterRefusal = std::chrono::seconds(7);
constexpr common::duration nonRepeatableCallTimeout = std::chrono::seconds(60);
constexpr common::duration refusalTimeout = std::chrono::seconds(3);
constexpr common::duration queryTimeout = std::chrono::milliseconds(500);
constexpr common::duration queryInterval = std::chrono::milliseconds(200);
constexpr std::uint32_t maxQueryRounds = 3;
constexpr std::uint32_t maxRefusalRequests = 3;

} // namespace

std::string run::idempotencyKey() const
{
    return m_request.key.team + '/' + m_request.key.key + '/' + stage().name;
}

bool run::checkLedgerBeforeStart(common::moment at)
{
    const auto &ledger = m_environment.ledger;
    const ledger::run_view view = ledger.find(m_request.key, at.wall);
    const bool isLogUsable = ledger.isLogReachable() && ledger.isReady(at.now);
    if (view.standing == ledger::run_standing::absent && isLogUsable) {
        const bool isDifferentBody = !view.bodyDigest.empty() && view.bodyDigest != m_request.bodyDigest;
        const bool isOnHold = view.claimableFrom > at.wall;
        if (!isDifferentBody && !isOnHold) {
            return true;
        }
        if (isOnHold) {
            replyKeyOnHold(view.claimableFrom - at.wall, at);
            return false;
        }
    }
    if (view.standing == ledger::run_standing::absent && view.bodyDigest.empty()) {
        const bool certain = ledger.isAbsenceCertain(common::keyTime(m_request.key.key), at.now);
        onClaimUnavailable(certain, at);
        return false;
    }
    m_phase = phase::joining;
    applyLedgerView(at);
    return false;
}

void run::replyKeyOnHold(common::duration holdRemaining, common::moment at)
{
    // Recording a refusal would renew the hold, so a caller that retries quickly would never be accepted.
    replyWith({.outcome = disposition::unknown,
               .detail = "the key was refused a moment ago and is held; this instance sent nothing",
               .retryAfter = holdRemaining},
              at);
    end();
}

void run::applyLedgerView(common::moment at)
{
    const ledger::run_view view = m_environment.ledger.find(m_request.key, at.wall);
    if (!view.bodyDigest.empty() && view.bodyDigest != m_request.bodyDigest) {
        replyWith({.outcome = disposition::conflict, .detail = "the key was used with another body"}, at);
        end();
        return;
    }
    switch (view.standing) {
    case ledger::run_standing::finished: {
        detail::recorded_answer answer = detail::decodeAnswer(view.answer);
        m_metDeadline = at.now <= m_request.deadline;
        replyWith({.outcome = disposition::answered,
                   .result = std::move(answer.result),
                   .isText = answer.isText,
                   .replayed = true},
                  at);
        end();
        return;
    }
    case ledger::run_standing::absent:
        // Another instance refused the key, but a claim recorded after that may not have been read here yet. Only a
        // refusal by this instance proves that the run was not started.
        refuseClaim("another submission of this key was refused", retryAfterRefusal, at);
        return;
    case ledger::run_standing::expired:
        replyWith({.outcome = disposition::unknown, .detail = "the key is older than the recorded window"}, at);
        end();
        return;
    case ledger::run_standing::started:
    case ledger::run_standing::between_stages:
        if (view.unknown) {
            replyWith({.outcome = disposition::unknown,
                       .detail = "the run waits to be settled; ask for it by its key",
                       .retryAfter = retryAfterOutage},
                      at);
            end();
        }
        return;
    }
}

void run::beginClaim(common::moment at)
{
    if (!m_background && m_environment.planner.expectedFrom(stageRef()) > remaining(at)) {
        finishWithoutResult("too little time is left for stage '" + stage().name + "'", retryAfterRefusal, at);
        return;
    }
    m_phase = phase::claiming;
    m_environment.ledger.claim(
        {.run = m_request.key,
         .bodyDigest = m_request.bodyDigest,
         .pipeline = m_request.pipelineName,
         .stage = m_stage,
         .position = detail::encodePosition({m_request.pipelineName, m_pipeline, m_request.body, m_results}),
         .expected = m_epoch,
         .arrivedAt = m_arrivedAt},
        at.now);
}

void run::refuseClaim(std::string detail, common::duration retryAfter, common::moment at)
{
    const auto &ledger = m_environment.ledger;
    if (!ledger.isLogReachable() || !ledger.isReady(at.now)) {
        onClaimUnavailable(ledger.isAbsenceCertain(common::keyTime(m_request.key.key), at.now), at);
        return;
    }
    if (m_refusalRequests == maxRefusalRequests) {
        onClaimUnavailable(false, at);
        return;
    }
    ++m_refusalRequests;
    m_refusalDetail = std::move(detail);
    m_refusalRetryAfter = retryAfter;
    m_phase = phase::refusing;
    m_wakeUp = at.now + refusalTimeout;
    m_environment.ledger.refuse(m_request.key, at.now);
}

void run::onClaimUnavailable(bool certain, common::moment at)
{
    if (m_mustFinish) {
        // An earlier stage has run, so the run remains accepted and this stage is retried.
        continueInBackground("the run's record cannot be written now; ask for the run by its key", at);
        backOff(at);
        return;
    }
    replyWith({.outcome = certain ? disposition::not_run : disposition::unknown,
               .detail = certain ? "the order log cannot be reached; nothing was sent"
                                 : "the order log cannot be reached; this instance sent nothing",
               .retryAfter = retryAfterOutage},
              at);
    end();
}

void run::onLedgerEvent(const ledger::event &event, common::moment at)
{
    if (const auto *granted = std::get_if<ledger::claim_granted>(&event)) {
        if (m_phase == phase::claiming && granted->stage == m_stage) {
            m_claimed = true;
            m_fencing = granted->fencing;
            m_epoch = granted->fencing;
            sendNonRepeatable(at);
        }
    } else if (std::holds_alternative<ledger::claim_lost>(event)) {
        if (m_phase == phase::claiming || m_phase == phase::refusing) {
            m_phase = phase::joining;
            applyLedgerView(at);
            if (m_background && m_phase == phase::joining) {
                end();
            }
        }
    } else if (const auto *unavailable = std::get_if<ledger::claim_unavailable>(&event)) {
        if (m_phase == phase::claiming || m_phase == phase::refusing) {
            onClaimUnavailable(unavailable->certain, at);
        }
    } else if (std::holds_alternative<ledger::refusal_recorded>(event)) {
        if (m_phase == phase::refusing && m_mustFinish) {
            continueInBackground(m_refusalDetail, at);
            backOff(at);
        } else if (m_phase == phase::refusing) {
            replyWith({.outcome = disposition::not_run, .detail = m_refusalDetail, .retryAfter = m_refusalRetryAfter},
                      at);
            end();
        }
    } else if (std::holds_alternative<ledger::run_changed>(event)) {
        onLedgerChange(at);
    }
}

void run::onLedgerChange(common::moment at)
{
    if (m_phase == phase::joining) {
        applyLedgerView(at);
        return;
    }
    if (m_phase == phase::querying && takeSettledResult(at)) {
        return;
    }
    const bool isInterruptible
        = m_phase == phase::calling || m_phase == phase::backing_off || m_phase == phase::querying;
    if (!m_claimed || !isInterruptible || ownsRun(at)) {
        return;
    }
    // Another instance has taken over the run and continues it.
    if (m_phase == phase::querying) {
        cancelQuery();
    } else {
        cancelAttempts(at);
    }
    m_phase = phase::joining;
    applyLedgerView(at);
    if (m_replied) {
        end();
    }
}

/// Continues with the result that an operator has recorded while this run was querying the endpoints for it.
/// Returns whether there is one.
bool run::takeSettledResult(common::moment at)
{
    const ledger::run_view view = m_environment.ledger.find(m_request.key, at.wall);
    const bool isSettled = view.standing == ledger::run_standing::between_stages && view.stage == m_stage;
    if (!isSettled || view.owner != m_environment.incarnation) {
        return false;
    }
    cancelQuery();
    m_wakeUp = common::instant::max();
    m_mustFinish = true;
    completeStage(view.stageResult, at);
    return true;
}

void run::sendNonRepeatable(common::moment at)
{
    const auto target = choose(at);
    if (!target) {
        refuseClaim("no endpoint of pool '" + stage().pool + "' takes work", retryAfterRefusal, at);
        return;
    }
    send_call call = beginCall(*target, common::instant::max(), at);
    call.idempotencyKey = idempotencyKey();
    call.fencing = m_fencing;
    m_phase = phase::sending;
    m_wakeUp = at.now + nonRepeatableCallTimeout;
    m_actions.emplace_back(std::move(call));
}

void run::onNonRepeatableEnded(const call_end &ended, common::moment at)
{
    const common::instant sentAt = m_attempts.front().sentAt;
    const bool isAnswered = ended.status == call_status::answered;
    dropAttempt(0, isAnswered ? routing::call_outcome::answered : routing::call_outcome::failed, at);
    m_wakeUp = common::instant::max();
    if (isAnswered) {
        m_environment.planner.onAnswered(stageRef(), at.now - sentAt, at.now - sentAt);
        const std::string answer = isLastStage() ? detail::encodeAnswer({ended.body, false}) : std::string();
        m_environment.ledger.finishStage(m_request.key, m_stage, ended.body, answer, at.now);
        m_answerRecorded = !answer.empty();
        m_mustFinish = true;
        completeStage(ended.body, at);
        return;
    }
    const bool isCertain = ended.status == call_status::refused || ended.status == call_status::unsent;
    if (!isCertain) {
        beginQueries(at);
        return;
    }
    if (remaining(at) > common::duration{} && choose(at)) {
        sendNonRepeatable(at);
        return;
    }
    refuseClaim("every endpoint of pool '" + stage().pool + "' refused the call",
                std::max(ended.retryAfter, retryAfterRefusal), at);
}

void run::beginQueries(common::moment at)
{
    m_phase = phase::querying;
    m_queries = 0;
    m_queryTargets.clear();
    if (stage().statusPath.empty()) {
        finishAsUnknown(at);
        return;
    }
    for (const auto &[name, endpoint] : m_configuration->endpoints) {
        if (endpoint.spec.pool == stage().pool) {
            m_queryTargets.push_back(name);
        }
    }
    if (!m_triedEndpoints.empty()) {
        const auto used = std::find(m_queryTargets.begin(), m_queryTargets.end(), m_triedEndpoints.back());
        if (used != m_queryTargets.end()) {
            std::rotate(m_queryTargets.begin(), used, used + 1);
        }
    }
    sendQuery(at);
}

/// Returns whether a query was in flight. The router is not notified, as status queries do not count as endpoint load.
bool run::cancelQuery()
{
    if (m_attempts.empty()) {
        return false;
    }
    m_actions.emplace_back(cancel_call{m_attempts.front().id});
    m_attempts.clear();
    return true;
}

void run::sendQuery(common::moment at)
{
    if (cancelQuery()) {
        ++m_queries;
    }
    if (m_queryTargets.empty() || m_queries / m_queryTargets.size() >= maxQueryRounds) {
        finishAsUnknown(at);
        return;
    }
    const std::string &name = m_queryTargets[m_queries % m_queryTargets.size()];
    const common::call_id id = m_environment.callIds.next();
    m_attempts.push_back({.id = id, .endpoint = name, .sentAt = at.now, .timeoutAt = common::instant::max()});
    m_wakeUp = at.now + queryTimeout;
    m_actions.emplace_back(query_status{.id = id,
                                        .endpoint = name,
                                        .address = m_configuration->endpoints.at(name).spec.address,
                                        .path = stage().statusPath,
                                        .idempotencyKey = idempotencyKey(),
                                        .fencing = m_epoch});
}

void run::onQueryEnded(const call_end &ended, common::moment at)
{
    const detail::status_answer status
        = ended.status == call_status::answered ? detail::parseStatus(ended.body) : detail::status_answer{};
    if (status.state == detail::status_state::done) {
        m_wakeUp = common::instant::max();
        m_environment.ledger.settle(m_request.key, m_stage, status.result, at.now);
        m_mustFinish = true;
        completeStage(status.result, at);
        return;
    }
    if (status.state == detail::status_state::running) {
        m_wakeUp = at.now + queryInterval;
        return;
    }
    ++m_queries;
    const bool isRoundOver = m_queries % m_queryTargets.size() == 0;
    if (isRoundOver) {
        m_wakeUp = at.now + queryInterval;
        return;
    }
    sendQuery(at);
}

void run::finishAsUnknown(common::moment at)
{
    m_environment.ledger.markUnknown(m_request.key, at.now);
    replyWith({.outcome = disposition::unknown,
               .detail = "the call was sent and its answer was lost; ask for the run by its key",
               .retryAfter = retryAfterOutage},
              at);
    end();
}

} // namespace masticlever::runs
