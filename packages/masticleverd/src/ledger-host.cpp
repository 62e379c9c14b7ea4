#include "ledger-host.h"

#include "clock.h"

#include <masticlever/common/digest.h>
#include <masticlever/telemetry/events.h>

#include <QPointer>

#include <algorithm>
#include <utility>

namespace masticlever::masticleverd
{

namespace
{

constexpr const char *logName = "ledger";
constexpr std::uint64_t appendBudget = 300; ///< appends per second, for the whole fleet
constexpr std::chrono::milliseconds minWait{1};
constexpr std::chrono::milliseconds maxWait{500};

} // namespace

const std::string &newOwnerOf(const common::run_key &run, const std::vector<std::string> &live)
{
    const auto weight = [&](const std::string &incarnation) {
        return common::stableHash(run.team + '/' + run.key + '@' + incarnation);
    };
    return *std::max_element(live.begin(), live.end(), [&](const std::string &left, const std::string &right) {
        return weight(left) < weight(right);
    });
}

ledger_host::ledger_host(platform::log_service &service, ledger::ledger_options options,
                         std::function<void()> onActivity)
    : m_service(service), m_ledger(std::move(options)), m_onActivity(std::move(onActivity)),
      m_follower(
          service, {.log = logName}, [this] { return m_ledger.nextOffset(); },
          [this](const platform::log_batch &batch) {
              const common::moment at = currentMoment();
              m_ledger.onRecords(batch, at.now, at.wall);
              logProgress();
              m_onActivity();
          },
          [this] {
              const common::moment at = currentMoment();
              m_ledger.onReadFailed(at.now, at.wall);
              m_onActivity();
          })
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        m_ledger.onTimer(currentMoment().now);
        m_onActivity();
    });
}

void ledger_host::logProgress()
{
    const bool isCaughtUp = m_ledger.isCaughtUp();
    if (isCaughtUp != std::exchange(m_caughtUp, isCaughtUp)) {
        const auto number = isCaughtUp ? telemetry::event::ledger_caught_up : telemetry::event::ledger_lagging;
        telemetry::logEvent(number, {{"next_offset", m_ledger.nextOffset()}});
    }
}

void ledger_host::armTimer()
{
    // Regular ticks let the ledger distinguish an outage of the log from a pause of this process.
    const common::instant now = currentMoment().now;
    const common::instant next = std::min(m_ledger.nextWakeUp(), now + maxWait);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - now);
    m_timer.start(std::max(wait, minWait));
}

void ledger_host::sendAppends()
{
    const QPointer<ledger_host> self(this);
    for (ledger::append_action &append : m_ledger.takeAppends(currentMoment().now)) {
        m_service.append(logName, std::move(append.payload),
                         [self, id = append.id](const common::result<platform::log_offset> &outcome) {
                             if (self) {
                                 self->m_ledger.onAppendEnded(id, outcome, currentMoment().now);
                                 self->m_onActivity();
                             }
                         });
    }
    armTimer();
}

void ledger_host::limitAppendRate(std::size_t liveInstances)
{
    const std::uint64_t share = std::max<std::uint64_t>(1, appendBudget / std::max<std::size_t>(1, liveInstances));
    const std::uint64_t total = m_ledger.counters().appends;
    const std::uint64_t lastSecond = total - std::exchange(m_lastAppendCount, total);
    // At a low rate appends are sent at once; only an instance that reaches its share batches them.
    if (lastSecond >= share) {
        m_isRateLimited = true;
    } else if (lastSecond < share / 2) {
        m_isRateLimited = false;
    }
    const auto interval = std::chrono::milliseconds(1000 / share);
    m_ledger.setAppendInterval(m_isRateLimited ? interval : std::chrono::milliseconds(0));
}

void ledger_host::takeOverOrphanedRuns(const std::vector<std::string> &live, const std::vector<std::string> &active,
                                       std::string_view self)
{
    if (active.empty() || !m_ledger.isCaughtUp() || !m_ledger.isLogReachable()) {
        return;
    }
    const common::moment at = currentMoment();
    for (const common::run_key &run : m_ledger.unfinishedRunsOf(live)) {
        if (newOwnerOf(run, active) == self) {
            m_ledger.take(run, at.now);
        }
    }
}

} // namespace masticlever::masticleverd
