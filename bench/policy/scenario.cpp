#include "scenario.h"

#include "entry-instance.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>

namespace masticlever::policy_bench
{

namespace
{

using namespace std::chrono_literals;

constexpr common::duration callerHop = 1ms;
constexpr common::duration callerDeadline = 4s;
constexpr common::duration tail = 7s; ///< after the last request
constexpr common::duration membershipDelay = 3s; ///< until the others know of lost instances
constexpr common::duration decidable = 20ms;
const common::duration queueLimit = admission::admission_options{}.queueLimit;
constexpr std::size_t prefixes = 40;
constexpr std::size_t prefixLength = 256;
constexpr std::size_t fewestTokens = 20;
constexpr std::size_t tokenRange = 41;
constexpr std::size_t largeTeams = 2;
constexpr double burstFactor = 5;
constexpr common::duration burstLength = 2s;

struct record {
    std::size_t team = 0;
    std::string pipeline;
    common::instant askedAt;
    common::instant lastTextAt;
    bool measured = false;
    bool replied = false;
    bool streamed = false;
    common::instant repliedAt;
    runs::disposition outcome = runs::disposition::failed;
};

double milliseconds(common::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

quantiles quantilesOf(std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at
        = [&](double q) { return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))]; };
    return {at(0.5), at(0.95), at(0.99)};
}

std::string uuidV7(common::wall_time when, std::uint64_t random)
{
    constexpr std::uint64_t low48 = 0xFFFFFFFFFFFFULL;
    const auto ms = static_cast<std::uint64_t>(when.time_since_epoch().count());
    std::string key(37, '\0');
    std::snprintf(key.data(), key.size(), "%08x-%04x-7%03x-8%03x-%012llx", static_cast<unsigned>(ms >> 16U),
                  static_cast<unsigned>(ms & 0xFFFFU), static_cast<unsigned>(random & 0xFFFU),
                  static_cast<unsigned>((random >> 12U) & 0xFFFU),
                  static_cast<unsigned long long>((random >> 16U) & low48));
    key.pop_back();
    return key;
}

class fleet
{
public:
    explicit fleet(const scenario &what);
    measurement run();

private:
    void arrive();
    void ask();
    void inject();
    void announceFleetSize();
    double rate() const;
    entry_instance *pickInstance();
    runs::run_request makeRequest(record &made);
    caller callerFor(const std::shared_ptr<record> &made);
    void summarize(measurement &result);
    void summarizeTeams(measurement &result) const;
    void summarizeRefusals(measurement &result) const;
    void summarizeCalls(measurement &result) const;

    const scenario m_what;
    const deployment &m_where;
    simulator m_clock;
    seeded_random m_traffic;
    fake_log m_log;
    endpoint_map m_endpoints;
    std::vector<std::unique_ptr<entry_instance>> m_instances;
    std::vector<std::shared_ptr<record>> m_records;
    std::vector<double> m_firstTokens;
    std::vector<double> m_gaps;
    common::instant m_measureFrom;
    common::instant m_measureTo;
    common::instant m_faultAt;
};

fleet::fleet(const scenario &what) : m_what(what), m_where(*what.where), m_traffic(what.seed), m_log(m_clock)
{
    std::uint64_t seed = what.seed * 1000;
    for (const pool_model &pool : m_where.pools) {
        for (std::size_t i = 0; i < pool.endpoints; ++i) {
            m_endpoints[endpointName(pool, i)] = std::make_unique<fake_endpoint>(m_clock, pool, ++seed);
        }
    }
    instance_options options;
    options.fleetSize = m_where.instances;
    options.hop = m_where.hop;
    options.routing = what.routing;
    options.routing.policy = what.policy;
    for (std::size_t i = 0; i < m_where.instances; ++i) {
        options.name = "entry-" + std::to_string(i);
        options.seed = ++seed;
        m_instances.push_back(
            std::make_unique<entry_instance>(m_clock, m_log, m_endpoints, m_where.configuration, options));
    }
    for (const auto &instance : m_instances) {
        instance->setPeers([this](const std::string &suspect) {
            m_clock.schedule(m_where.hop, [this, suspect] {
                for (const auto &peer : m_instances) {
                    peer->onPeerSuspects(suspect);
                }
            });
        });
    }
    m_measureFrom = m_clock.now() + what.warmUp;
    m_measureTo = m_measureFrom + what.measured;
    m_faultAt = m_measureFrom + what.measured / 10;
}

double fleet::rate() const
{
    const bool burst
        = m_what.fault == fault_kind::burst && m_clock.now() >= m_faultAt && m_clock.now() < m_faultAt + burstLength;
    return m_where.capacity * m_what.load * (burst ? burstFactor : 1);
}

void fleet::arrive()
{
    if (m_clock.now() >= m_measureTo) {
        return;
    }
    ask();
    const common::duration mean(static_cast<std::int64_t>(1e6 / rate()));
    m_clock.schedule(m_traffic.exponential(mean), [this] { arrive(); });
}

entry_instance *fleet::pickInstance()
{
    std::vector<entry_instance *> live;
    for (const auto &instance : m_instances) {
        if (!instance->isStopped()) {
            live.push_back(instance.get());
        }
    }
    return live[m_traffic.next() % live.size()];
}

runs::run_request fleet::makeRequest(record &made)
{
    double draw = m_traffic.uniform();
    while (made.team + 1 < m_where.teamShares.size() && draw >= m_where.teamShares[made.team]) {
        draw -= m_where.teamShares[made.team++];
    }
    draw = m_traffic.uniform();
    std::size_t kind = 0;
    while (kind + 1 < m_where.mix.size() && draw >= m_where.mix[kind].share) {
        draw -= m_where.mix[kind++].share;
    }
    made.pipeline = m_where.mix[kind].pipeline;
    made.streamed = m_where.configuration->pipelines.at(made.pipeline).spec.stages.back().streamed;
    // A few prompts are popular: the square skews the draw towards low numbers.
    const double skewed = std::pow(m_traffic.uniform(), 2) * static_cast<double>(prefixes);
    std::string prefix = made.pipeline + std::to_string(static_cast<std::size_t>(skewed));
    prefix.resize(prefixLength, '-');
    const std::size_t tokens = fewestTokens + m_traffic.next() % tokenRange;

    runs::run_request request;
    request.key = {teamName(made.team), uuidV7(m_clock.at().wall, m_traffic.next())};
    request.pipelineName = made.pipeline;
    request.body = "{\"prefix\":\"" + prefix + "\",\"tokens\":" + std::to_string(tokens) + '}';
    request.bodyDigest = std::to_string(tokens);
    request.wantsStream = true;
    request.deadline = m_clock.now() + callerDeadline - callerHop;
    return request;
}

caller fleet::callerFor(const std::shared_ptr<record> &made)
{
    caller from;
    from.onText = [this, made] {
        const common::instant seenAt = m_clock.now() + callerHop;
        if (made->measured && made->lastTextAt == made->askedAt) {
            m_firstTokens.push_back(milliseconds(seenAt - made->askedAt));
        } else if (made->measured) {
            m_gaps.push_back(milliseconds(seenAt - made->lastTextAt));
        }
        made->lastTextAt = seenAt;
    };
    from.onReply = [this, made](const runs::reply &reply) {
        made->replied = true;
        made->repliedAt = m_clock.now() + callerHop;
        made->outcome = reply.outcome;
    };
    return from;
}

void fleet::ask()
{
    auto made = std::make_shared<record>();
    made->askedAt = m_clock.now();
    made->lastTextAt = made->askedAt;
    made->measured = m_clock.now() >= m_measureFrom;
    runs::run_request request = makeRequest(*made);
    if (made->measured) {
        m_records.push_back(made);
    }
    entry_instance *instance = pickInstance();
    m_clock.schedule(callerHop, [this, instance, made, request] { instance->submit(request, callerFor(made)); });
}

void fleet::announceFleetSize()
{
    const auto isLive = [](const auto &instance) { return !instance->isStopped(); };
    const auto live = std::count_if(m_instances.begin(), m_instances.end(), isLive);
    for (const auto &instance : m_instances) {
        instance->setFleetSize(static_cast<std::size_t>(live));
    }
}

void fleet::inject()
{
    const std::string slow = m_what.faultPool.empty() ? m_where.slowPool : m_what.faultPool;
    const std::string hit = m_what.faultPool.empty() ? m_where.hitPool : m_what.faultPool;
    switch (m_what.fault) {
    case fault_kind::none:
    case fault_kind::burst:
        return;
    case fault_kind::half_speed:
        for (std::size_t i = 0; i < m_where.pool(slow).endpoints; ++i) {
            m_endpoints.at(endpointName(m_where.pool(slow), i))->setSpeed(0.5);
        }
        return;
    case fault_kind::dead:
        m_endpoints.at(endpointName(m_where.pool(hit), 0))->setMode(endpoint_mode::dead);
        return;
    case fault_kind::silent:
        m_endpoints.at(endpointName(m_where.pool(hit), 0))->setMode(endpoint_mode::silent);
        return;
    case fault_kind::data_centre:
        for (const auto &[name, endpoint] : m_where.configuration->endpoints) {
            if (endpoint.spec.dataCentre == "0") {
                m_endpoints.at(name)->setMode(endpoint_mode::silent);
            }
        }
        for (std::size_t i = 0; i < m_instances.size(); i += m_where.dataCentres) {
            m_instances[i]->stop();
        }
        m_clock.schedule(membershipDelay, [this] { announceFleetSize(); });
        return;
    }
}

void fleet::summarizeTeams(measurement &result) const
{
    std::vector<double> asked(m_where.teamShares.size());
    std::vector<double> answered(m_where.teamShares.size());
    for (const auto &one : m_records) {
        const bool inTime = one->replied && one->outcome == runs::disposition::answered
            && one->repliedAt <= one->askedAt + callerDeadline;
        asked[one->team] += 1;
        answered[one->team] += inTime ? 1 : 0;
    }
    double smallAsked = 0;
    double smallAnswered = 0;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        if (asked[i] > 0) {
            result.worstTeam = std::min(result.worstTeam, answered[i] / asked[i]);
        }
        smallAsked += i < largeTeams ? 0 : asked[i];
        smallAnswered += i < largeTeams ? 0 : answered[i];
    }
    result.smallTeams = smallAsked > 0 ? smallAnswered / smallAsked : 1;
}

void fleet::summarizeRefusals(measurement &result) const
{
    double sum = 0;
    double late = 0;
    for (const auto &one : m_records) {
        if (!one->replied || one->outcome != runs::disposition::not_run) {
            continue;
        }
        const common::duration taken = one->repliedAt - one->askedAt - 2 * callerHop;
        sum += milliseconds(taken);
        const bool atDoor = taken <= decidable;
        const bool afterQueue = taken >= queueLimit && taken <= queueLimit + decidable;
        late += atDoor || afterQueue ? 0 : 1;
    }
    if (result.refused > 0) {
        result.refusalMeanMs = sum / static_cast<double>(result.refused);
        result.lateRefusals = late / static_cast<double>(result.refused);
    }
}

void fleet::summarizeCalls(measurement &result) const
{
    double calls = 0;
    double needed = 0;
    const double answered = std::max<double>(1, static_cast<double>(result.answered));
    for (const auto &instance : m_instances) {
        needed += static_cast<double>(instance->neededCalls());
        for (const auto &[stage, count] : instance->callsByStage()) {
            calls += static_cast<double>(count);
            result.callsByStage[stage] += static_cast<double>(count) / answered;
        }
    }
    result.callsPerAnswer = needed > 0 ? calls / needed : 0;
}

void fleet::summarize(measurement &result)
{
    for (const auto &one : m_records) {
        ++result.asked;
        if (!one->replied) {
            ++result.silent;
        } else if (one->outcome == runs::disposition::answered) {
            result.answered += one->repliedAt <= one->askedAt + callerDeadline ? 1 : 0;
        } else if (one->outcome == runs::disposition::not_run) {
            ++result.refused;
        } else if (one->outcome == runs::disposition::unknown) {
            ++result.unknown;
        } else {
            ++result.failed;
        }
    }
    result.attainment = static_cast<double>(result.answered) / std::max<double>(1, static_cast<double>(result.asked));
    result.goodput = static_cast<double>(result.answered) / std::chrono::duration<double>(m_what.measured).count();
    summarizeTeams(result);
    summarizeRefusals(result);
    summarizeCalls(result);
    result.firstTokenMs = quantilesOf(m_firstTokens);
    result.tokenGapMs = quantilesOf(m_gaps);
}

measurement fleet::run()
{
    m_log.keepAlive();
    m_clock.schedule(100ms, [this] { arrive(); });
    m_clock.schedule(m_faultAt, [this] { inject(); });
    m_clock.schedule(m_measureFrom, [this] {
        for (const auto &instance : m_instances) {
            instance->resetCalls();
        }
    });
    m_clock.runUntil(m_measureTo + tail);
    measurement result;
    summarize(result);
    return result;
}

} // namespace

measurement runScenario(const scenario &what)
{
    fleet subject(what);
    return subject.run();
}

} // namespace masticlever::policy_bench
