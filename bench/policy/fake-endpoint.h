#pragma once

#include "deployment.h"
#include "simulator.h"

#include <masticlever/runs/actions.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// In-process fakes: a model engine with continuous batching and a prefix cache, and a plain service.

namespace masticlever::policy_bench
{

struct load_report {
    double load = 0;
    common::duration age{};
};

/// How an endpoint speaks to the instance that called it; delivery adds the network's delay.
struct call_replies {
    std::function<void(std::string text, load_report)> text;
    std::function<void(runs::call_end, load_report)> end;
};

enum class endpoint_mode { working, dead, silent };

class fake_endpoint
{
public:
    fake_endpoint(simulator &clock, const pool_model &model, std::uint64_t seed);

    void call(const runs::send_call &request, call_replies replies);
    void cancel(const common::call_id &id);
    void setMode(endpoint_mode mode);
    void setSpeed(double speed) { m_speed = speed; }
    bool isWorking() const { return m_mode == endpoint_mode::working; }
    bool hasRun(const std::string &idempotencyKey) const { return m_done.count(idempotencyKey) > 0; }

private:
    struct job {
        common::call_id id;
        std::string body;
        std::string idempotencyKey;
        call_replies replies;
        std::size_t tokensLeft = 0;
        common::instant readyAt; ///< prefill is done
    };

    void fill();
    void startService(std::list<job>::iterator added);
    void startEngine(job &added);
    void scheduleIteration();
    void iterate();
    void finish(std::list<job>::iterator done, std::string body);
    bool touchPrefix(const std::string &body);
    load_report report();
    void sample();

    simulator &m_clock;
    const pool_model m_model;
    seeded_random m_random;
    endpoint_mode m_mode = endpoint_mode::working;
    double m_speed = 1;
    std::deque<job> m_waiting;
    std::list<job> m_running;
    std::list<std::string> m_prefixes; ///< most recently used first
    std::set<std::string> m_done;
    bool m_iterating = false;
    double m_sampledLoad = 0;
    common::instant m_sampledAt;
};

} // namespace masticlever::policy_bench
