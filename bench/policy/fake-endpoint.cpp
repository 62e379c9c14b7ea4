#include "fake-endpoint.h"

#include <algorithm>
#include <cstdlib>

namespace masticlever::policy_bench
{

namespace
{

using namespace std::chrono_literals;

constexpr common::duration tokenBase = 16ms; ///< time of an iteration with an empty batch
constexpr common::duration tokenPerStream = 1500us; ///< added by each stream of the batch
constexpr common::duration coldPrefill = 250ms;
constexpr common::duration warmPrefill = 40ms;
constexpr std::size_t cachedPrefixes = 6;
constexpr common::duration reportInterval = 300ms; ///< lag of load reports

common::duration scaled(common::duration value, double factor)
{
    return common::duration(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

std::size_t numberAfter(const std::string &body, const std::string &field)
{
    const auto found = body.find(field);
    return found == std::string::npos ? 0 : std::strtoul(body.c_str() + found + field.size(), nullptr, 10);
}

/// Tokens that an earlier call of the same stage has yielded; each token is one letter.
std::size_t generatedTokens(const std::string &body)
{
    const std::string field = "\"generated\":\"";
    const auto found = body.find(field);
    return found == std::string::npos ? 0 : body.find('"', found + field.size()) - found - field.size();
}

} // namespace

fake_endpoint::fake_endpoint(simulator &clock, const pool_model &model, std::uint64_t seed)
    : m_clock(clock), m_model(model), m_random(seed)
{ }

void fake_endpoint::sample()
{
    if (m_clock.now() - m_sampledAt >= reportInterval) {
        m_sampledAt = m_clock.now();
        m_sampledLoad = static_cast<double>(m_running.size() + m_waiting.size());
    }
}

load_report fake_endpoint::report()
{
    sample();
    return {m_sampledLoad, m_clock.now() - m_sampledAt};
}

void fake_endpoint::call(const runs::send_call &request, call_replies replies)
{
    if (m_mode == endpoint_mode::dead) {
        replies.end({.status = runs::call_status::unsent}, {});
        return;
    }
    if (m_mode == endpoint_mode::silent) {
        return;
    }
    sample();
    m_waiting.push_back({request.id, request.body, request.idempotencyKey, std::move(replies)});
    fill();
}

void fake_endpoint::cancel(const common::call_id &id)
{
    const auto isCall = [&](const job &one) { return one.id == id; };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), isCall), m_waiting.end());
    m_running.remove_if([&](const job &one) { return isCall(one) && one.idempotencyKey.empty(); });
    fill();
}

void fake_endpoint::setMode(endpoint_mode mode)
{
    m_mode = mode;
    if (mode == endpoint_mode::dead) {
        for (const job &one : m_running) {
            one.replies.end({.status = runs::call_status::failed}, {});
        }
        for (const job &one : m_waiting) {
            one.replies.end({.status = runs::call_status::failed}, {});
        }
    }
    if (mode != endpoint_mode::working) {
        m_running.clear();
        m_waiting.clear();
    }
}

void fake_endpoint::fill()
{
    while (!m_waiting.empty() && m_running.size() < m_model.slots) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        if (m_model.engine) {
            startEngine(m_running.back());
        } else {
            startService(std::prev(m_running.end()));
        }
    }
}

void fake_endpoint::startService(std::list<job>::iterator added)
{
    // A fixed half and an exponential half: a mild tail.
    const common::duration half = m_model.service / 2;
    const common::duration time = scaled(half + m_random.exponential(half), 1 / m_speed);
    m_clock.schedule(time, [this, id = added->id] {
        const auto found
            = std::find_if(m_running.begin(), m_running.end(), [&](const job &one) { return one.id == id; });
        if (found != m_running.end()) {
            finish(found, "{}");
        }
    });
}

bool fake_endpoint::touchPrefix(const std::string &body)
{
    const std::string field = "\"prefix\":\"";
    const auto begin = body.find(field) + field.size();
    const std::string prefix = body.substr(begin, body.find('"', begin) - begin);
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool warm = found != m_prefixes.end();
    if (warm) {
        m_prefixes.erase(found);
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > cachedPrefixes) {
        m_prefixes.pop_back();
    }
    return warm;
}

void fake_endpoint::startEngine(job &added)
{
    const common::duration prefill = touchPrefix(added.body) ? warmPrefill : coldPrefill;
    added.readyAt = m_clock.now() + scaled(prefill, 1 / m_speed);
    const std::size_t wanted = numberAfter(added.body, "\"tokens\":");
    added.tokensLeft = wanted - std::min(wanted - 1, generatedTokens(added.body));
    scheduleIteration();
}

void fake_endpoint::scheduleIteration()
{
    if (m_iterating || m_running.empty()) {
        return;
    }
    m_iterating = true;
    const auto batch = static_cast<std::int64_t>(m_running.size());
    m_clock.schedule(scaled(tokenBase + tokenPerStream * batch, 1 / m_speed), [this] { iterate(); });
}

void fake_endpoint::iterate()
{
    m_iterating = false;
    for (auto one = m_running.begin(); one != m_running.end();) {
        const auto current = one++;
        if (current->readyAt > m_clock.now()) {
            continue;
        }
        current->replies.text("t", report());
        if (--current->tokensLeft == 0) {
            finish(current, {});
        }
    }
    scheduleIteration();
}

void fake_endpoint::finish(std::list<job>::iterator done, std::string body)
{
    if (!done->idempotencyKey.empty()) {
        m_done.insert(done->idempotencyKey);
    }
    done->replies.end({.status = runs::call_status::answered, .body = std::move(body)}, report());
    m_running.erase(done);
    fill();
}

} // namespace masticlever::policy_bench
