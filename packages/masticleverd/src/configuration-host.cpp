#include "configuration-host.h"

#include "clock.h"

#include <masticlever/telemetry/events.h>

#include <QPointer>

#include <utility>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::event;
using telemetry::logEvent;

constexpr const char *logName = "configuration";
constexpr std::chrono::milliseconds pollInterval{250};

event eventOf(const configuration::change_view &view)
{
    if (view.progress == configuration::change_progress::unknown) {
        return event::change_unknown;
    }
    const bool isAccepted = view.progress == configuration::change_progress::settled
        && (view.outcome.status == configuration::change_status::accepted
            || view.outcome.status == configuration::change_status::unchanged);
    return isAccepted ? event::change_accepted : event::change_refused;
}

} // namespace

configuration_host::configuration_host(platform::log_service &service, configuration::snapshot_writer_options snapshots,
                                       std::function<std::size_t()> rank, changed_handler onChanged)
    : m_service(service), m_snapshots(snapshots), m_rank(std::move(rank)), m_onChanged(std::move(onChanged)),
      m_follower(
          service, {.log = logName, .pollTimeout = std::chrono::milliseconds(2000)},
          [this] { return m_replayer.nextOffset(); }, [this](const platform::log_batch &batch) { onBatch(batch); },
          [] {})
{
    m_timer.setInterval(pollInterval);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        m_tracker.onTimer(currentMoment().now);
        pump();
        pollSnapshot();
    });
    m_timer.start();
}

void configuration_host::submit(const configuration::change &change, gateway::operator_service::change_handler done)
{
    const configuration::change_view view = m_tracker.submit(change, m_replayer, currentMoment().now);
    if (view.progress != configuration::change_progress::pending) {
        done(view);
        return;
    }
    m_waiting.emplace(change.id, std::move(done));
    pump();
}

std::optional<configuration::change_view> configuration_host::find(const std::string &id) const
{
    return m_tracker.find(id, m_replayer);
}

void configuration_host::onBatch(const platform::log_batch &batch)
{
    afterReplay(m_replayer.onRecords(batch));
}

void configuration_host::onPeerRecords(const platform::log_batch &batch)
{
    afterReplay(m_replayer.onPeerRecords(batch));
}

void configuration_host::onPeerState(const std::string &encodedSnapshot)
{
    if (m_replayer.onPeerState(encodedSnapshot)) {
        afterReplay(configuration::replay_state::current);
    }
}

void configuration_host::afterReplay(configuration::replay_state state)
{
    const std::uint64_t offset = m_replayer.current()->offset;
    if (state != m_lastState) {
        m_lastState = state;
        if (state == configuration::replay_state::needs_base) {
            logEvent(event::configuration_needs_base, {{"next_offset", m_replayer.nextOffset()}});
        } else if (state == configuration::replay_state::regressed) {
            logEvent(event::configuration_regressed, {{"applied_offset", offset}});
        }
    }
    if (m_replayer.counters().divergences > std::exchange(m_divergences, m_replayer.counters().divergences)) {
        logEvent(event::configuration_diverged, {{"applied_offset", offset}});
    }
    m_tracker.onReplayed(m_replayer, currentMoment().now);
    pump();
    const bool isNew = offset != std::exchange(m_appliedOffset, offset);
    if (isNew) {
        logEvent(event::configuration_applied, {{"offset", offset}});
    }
    if (isNew || m_replayer.isReady()) {
        m_onChanged();
    }
}

void configuration_host::pump()
{
    const QPointer<configuration_host> self(this);
    for (configuration::change_append &append : m_tracker.takeAppends(currentMoment().now)) {
        m_service.append(logName, std::move(append.payload),
                         [self, id = append.changeId](const common::result<platform::log_offset> &outcome) {
                             if (self) {
                                 self->m_tracker.onAppendEnded(id, outcome, currentMoment().now);
                                 self->pump();
                             }
                         });
    }
    answerEndedChanges();
}

void configuration_host::answerEndedChanges()
{
    for (const configuration::change_view &view : m_tracker.takeEnded()) {
        logEvent(eventOf(view), {{"change", std::string_view(view.id)}, {"version", view.outcome.version}});
        const auto [first, last] = m_waiting.equal_range(view.id);
        std::vector<gateway::operator_service::change_handler> handlers;
        for (auto item = first; item != last; ++item) {
            handlers.push_back(std::move(item->second));
        }
        m_waiting.erase(first, last);
        for (const auto &done : handlers) {
            done(view);
        }
    }
}

void configuration_host::pollSnapshot()
{
    const common::moment at = currentMoment();
    auto payload = m_snapshots.poll(m_replayer, m_rank(), at.now, at.wall);
    if (!payload) {
        return;
    }
    const QPointer<configuration_host> self(this);
    const std::uint64_t covers = m_replayer.current()->offset;
    m_service.append(logName, std::move(*payload), [self, covers](const common::result<platform::log_offset> &outcome) {
        if (!self) {
            return;
        }
        self->m_snapshots.onAppendEnded(outcome.has_value(), currentMoment().now);
        if (outcome) {
            logEvent(event::snapshot_written, {{"covers", covers}, {"offset", outcome.value()}});
        }
    });
}

} // namespace masticlever::masticleverd
