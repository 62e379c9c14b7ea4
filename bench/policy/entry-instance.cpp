#include "entry-instance.h"

#include <masticlever/routing/capacity.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace masticlever::policy_bench
{

namespace
{

using namespace std::chrono_literals;

constexpr common::duration appendDelay = 3ms;
constexpr common::duration readDelay = 2ms;
constexpr common::duration keepAliveInterval = 200ms;
constexpr common::duration housekeepingInterval = 100ms;

routing::router_options withName(routing::router_options options, const std::string &name)
{
    options.instanceName = name;
    return options;
}

} // namespace

void fake_log::append(entry_instance &writer, const ledger::append_action &action)
{
    m_clock.schedule(appendDelay, [this, &writer, action] {
        platform::log_batch batch;
        batch.records.push_back({m_end, m_clock.at().wall, action.payload});
        batch.end = ++m_end;
        writer.onAppended(action.id, m_end - 1);
        m_clock.schedule(readDelay, [this, batch] {
            for (entry_instance *reader : m_readers) {
                reader->onBatch(batch);
            }
        });
    });
}

void fake_log::keepAlive()
{
    platform::log_batch empty;
    empty.end = m_end;
    m_clock.schedule(readDelay, [this, empty] {
        for (entry_instance *reader : m_readers) {
            reader->onBatch(empty);
        }
    });
    m_clock.schedule(keepAliveInterval, [this] { keepAlive(); });
}

entry_instance::entry_instance(simulator &clock, fake_log &log, endpoint_map &endpoints,
                               configuration::snapshot_ptr configuration, const instance_options &options)
    : m_clock(clock), m_log(log), m_endpoints(endpoints), m_configuration(std::move(configuration)), m_options(options),
      m_random(options.seed), m_callIds(options.name), m_router(withName(options.routing, options.name)),
      m_admission(admission::admission_options{}), m_ledger(ledger::ledger_options{.incarnation = options.name}),
      m_runs({m_router, m_ledger, m_planner, m_callIds, m_random, options.name}, m_admission)
{
    m_router.update(*m_configuration, clock.now());
    log.addReader(*this);
    adjustCapacity();
}

void entry_instance::submit(runs::run_request request, caller from)
{
    if (m_stopped) {
        return;
    }
    const auto &pipeline = m_configuration->pipelines.at(request.pipelineName).spec;
    const auto &team = m_configuration->teams.at(request.key.team).spec;
    const runs::team_terms terms{team.weight, team.maxInFlight};
    const runs::run_id id = m_runs.submit(std::move(request), m_configuration, pipeline, terms, m_clock.at());
    m_callers.emplace(id, std::move(from));
    pump();
}

void entry_instance::onAppended(std::uint64_t id, platform::log_offset offset)
{
    if (!m_stopped) {
        m_ledger.onAppendEnded(id, offset, m_clock.now());
        pump();
    }
}

void entry_instance::onBatch(const platform::log_batch &batch)
{
    if (m_stopped) {
        return;
    }
    const common::moment at = m_clock.at();
    m_ledger.onRecords(batch, at.now, at.wall);
    pump();
}

void entry_instance::pump()
{
    const common::moment at = m_clock.at();
    for (const auto &append : m_ledger.takeAppends(at.now)) {
        m_log.append(*this, append);
    }
    m_runs.onLedgerEvents(m_ledger.takeEvents(), m_configuration, at);
    for (const auto &append : m_ledger.takeAppends(at.now)) {
        m_log.append(*this, append);
    }
    for (runs::table_action &action : m_runs.takeActions()) {
        perform(action);
    }
    countEnds();
    armTimer();
}

void entry_instance::perform(runs::table_action &action)
{
    if (const auto *call = std::get_if<runs::send_call>(&action.what)) {
        send(*call);
    } else if (const auto *status = std::get_if<runs::query_status>(&action.what)) {
        query(*status);
    } else if (const auto *cancel = std::get_if<runs::cancel_call>(&action.what)) {
        m_clock.schedule(m_options.hop, [this, id = cancel->id] {
            for (auto &[name, endpoint] : m_endpoints) {
                endpoint->cancel(id);
            }
        });
    } else if (const auto found = m_callers.find(action.run); found != m_callers.end()) {
        if (std::holds_alternative<runs::stream_text>(action.what)) {
            found->second.onText();
        } else if (const auto *reply = std::get_if<runs::reply>(&action.what)) {
            found->second.onReply(*reply);
            m_callers.erase(found);
        }
    }
}

call_replies entry_instance::repliesFor(const runs::send_call &call)
{
    call_replies replies;
    const auto deliver = [this, endpoint = call.endpoint](load_report load, std::function<void()> what) {
        m_clock.schedule(m_options.hop, [this, endpoint, load, what = std::move(what)] {
            if (m_stopped) {
                return;
            }
            m_router.onLoadReport(endpoint, load.load, load.age, m_clock.now());
            what();
            pump();
        });
    };
    replies.text = [this, deliver, id = call.id](std::string text, load_report load) {
        deliver(load, [this, id, text = std::move(text)] { m_runs.onText(id, text, m_clock.at()); });
    };
    replies.end = [this, deliver, id = call.id](runs::call_end ended, load_report load) {
        deliver(load, [this, id, ended = std::move(ended)] { m_runs.onCallEnded(id, ended, m_clock.at()); });
    };
    return replies;
}

void entry_instance::send(const runs::send_call &call)
{
    m_clock.schedule(m_options.hop,
                     [this, call, replies = repliesFor(call)] { m_endpoints.at(call.endpoint)->call(call, replies); });
}

void entry_instance::query(const runs::query_status &query)
{
    m_clock.schedule(2 * m_options.hop, [this, query] {
        const fake_endpoint &endpoint = *m_endpoints.at(query.endpoint);
        if (!endpoint.isWorking() || m_stopped) {
            return;
        }
        const bool done = endpoint.hasRun(query.idempotencyKey);
        const std::string body = done ? R"({"state":"done","result":{}})" : R"({"state":"not_known"})";
        m_runs.onCallEnded(query.id, {.status = runs::call_status::answered, .body = body}, m_clock.at());
        pump();
    });
}

void entry_instance::countEnds()
{
    for (const runs::run_end &end : m_runs.takeEnds()) {
        for (std::size_t i = 0; i < end.callsByStage.size(); ++i) {
            m_calls[end.spec.stages[i].name] += end.callsByStage[i];
        }
        m_neededCalls += end.metDeadline ? end.spec.stages.size() : 0;
    }
}

void entry_instance::armTimer()
{
    const common::instant next = std::min(m_runs.nextWakeUp(), m_ledger.nextWakeUp());
    if (next >= m_timerAt && m_timerAt > m_clock.now()) {
        return;
    }
    m_timerAt = next;
    if (next == common::instant::max()) {
        return;
    }
    m_clock.schedule(next, [this, next] {
        if (m_stopped || m_timerAt != next) {
            return;
        }
        m_timerAt = common::instant::max();
        m_ledger.onTimer(m_clock.now());
        m_runs.onTimer(m_clock.at());
        pump();
    });
}

void entry_instance::adjustCapacity()
{
    double share = 0;
    for (const auto &[name, pipeline] : m_configuration->pipelines) {
        const auto fleet = routing::capacityOf(name, pipeline.spec, m_planner.estimates(), m_router, m_clock.now());
        share = std::max(share, routing::instanceCapacity(fleet, m_options.fleetSize));
    }
    if (share > 0) {
        m_admission.setCapacity(static_cast<std::size_t>(std::ceil(share)));
    }
    probe();
    for (const std::string &suspect : m_router.takeSuspects(m_clock.now())) {
        m_tellPeers(suspect);
    }
    m_clock.schedule(housekeepingInterval, [this] {
        if (!m_stopped) {
            adjustCapacity();
        }
    });
}

void entry_instance::probe()
{
    constexpr common::duration probeTimeout = 500ms;
    for (const routing::candidate &due : m_router.dueProbes(m_clock.now())) {
        const bool answers = m_endpoints.at(due.name)->isWorking();
        m_clock.schedule(answers ? 2 * m_options.hop : probeTimeout,
                         [this, name = due.name, answers] { m_router.onProbed(name, answers, m_clock.now()); });
    }
}

} // namespace masticlever::policy_bench
