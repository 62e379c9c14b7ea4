#include <masticlever/admission/admission.h>
#include <masticlever/routing/router.h>
#include <masticlever/routing/stage-estimates.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

/// \file
/// Slopes for the capacity page: time and memory of endpoint choice by endpoints, of admission by teams, of stage
/// estimates by stages.

namespace
{

using namespace masticlever;
using namespace std::chrono_literals;

constexpr int repetitions = 20000;

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

template <typename Step> double nanosecondsPerStep(int count, Step step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
        step(i);
    }
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / count;
}

configuration::snapshot poolOf(std::size_t endpoints)
{
    configuration::snapshot made;
    for (std::size_t i = 0; i < endpoints; ++i) {
        const std::string name = "engine-" + std::to_string(i);
        auto &endpoint = made.endpoints[name];
        endpoint.name = name;
        endpoint.spec.pool = "model";
        endpoint.spec.address = "10.0.0.1:" + std::to_string(8000 + i);
    }
    return made;
}

void measureRouter(std::size_t endpoints, std::size_t subset)
{
    const configuration::snapshot pool = poolOf(endpoints);
    const std::size_t before = heapBytes();
    routing::router_options options;
    options.subsetSize = subset;
    options.instanceName = "entry-1";
    routing::router router(options);
    common::instant now{1000s};
    router.update(pool, now);
    std::uint64_t random = 1;
    const double call = nanosecondsPerStep(repetitions, [&](int i) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        now += 100us;
        const auto chosen = router.choose(
            {.pool = "model", .prefixHash = static_cast<std::uint64_t>(i % 100 + 1), .random = random, .now = now});
        router.onSent(chosen->name, now);
        router.onLoadReport(chosen->name, 2, 50ms, now);
        router.onEnded(chosen->name, routing::call_outcome::answered, 20ms, now);
    });
    const double token = nanosecondsPerStep(repetitions, [&](int) { router.onProgress("engine-1", 20ms, now); });
    const double bytes = static_cast<double>(heapBytes() - before) / static_cast<double>(endpoints);
    const double update = nanosecondsPerStep(5, [&](int) { router.update(pool, now); });
    std::printf("router endpoints=%zu subset=%zu call_ns=%.0f token_ns=%.0f update_us=%.0f bytes_per_endpoint=%.0f\n",
                endpoints, subset, call, token, update / 1000, bytes);
}

void measureAdmission(std::size_t teams, bool contended)
{
    const std::size_t before = heapBytes();
    admission::controller controller(admission::admission_options{});
    common::instant now{1000s};
    std::vector<std::string> names;
    for (std::size_t i = 0; i < teams; ++i) {
        names.push_back("team-" + std::to_string(i));
    }
    std::vector<admission::ticket> running;
    const auto ask = [&](std::size_t i) {
        const auto asked = controller.request(
            {.team = names[i % teams], .pipeline = "advice", .remaining = 4s, .expectedService = 1s}, now);
        if (asked.outcome == admission::decision::admission_outcome::admitted) {
            running.push_back(asked.id);
        }
    };
    for (std::size_t i = 0; contended && i < 200; ++i) {
        ask(i);
    }
    const double request = nanosecondsPerStep(repetitions, [&](int i) {
        now += 10ms;
        ask(static_cast<std::size_t>(i));
        if (!running.empty()) {
            controller.onFinished(running.back(), true, now);
            running.pop_back();
        }
        for (const auto &event : controller.poll(now)) {
            if (event.admitted) {
                running.push_back(event.id);
            }
        }
        controller.nextWakeUp();
    });
    const double bytes = static_cast<double>(heapBytes() - before) / static_cast<double>(teams);
    std::printf("admission teams=%zu contended=%d request_ns=%.0f queued=%zu bytes_per_team=%.0f\n", teams, contended,
                request, controller.queued(), bytes);
}

void measureEstimates(std::size_t stages)
{
    const std::size_t before = heapBytes();
    routing::stage_estimates estimates;
    configuration::pipeline_spec spec;
    for (std::size_t i = 0; i < stages; ++i) {
        spec.stages.emplace_back().name = "stage-" + std::to_string(i);
    }
    const double answered = nanosecondsPerStep(repetitions, [&](int i) {
        estimates.onAnswered("advice", spec.stages[static_cast<std::size_t>(i) % stages].name, 20ms);
    });
    const double budget = nanosecondsPerStep(repetitions, [&](int) { estimates.budgetFor("advice", spec, 0, 4s); });
    std::printf("estimates stages=%zu answered_ns=%.0f budget_ns=%.0f bytes_per_stage=%.0f\n", stages, answered, budget,
                static_cast<double>(heapBytes() - before) / static_cast<double>(stages));
}

} // namespace

int main()
{
    for (const std::size_t endpoints : {10, 30, 100, 300, 600, 1200}) {
        measureRouter(endpoints, 0);
    }
    for (const std::size_t endpoints : {100, 600, 1200}) {
        measureRouter(endpoints, 24);
    }
    for (const std::size_t teams : {5, 50, 350, 1400}) {
        measureAdmission(teams, false);
        measureAdmission(teams, true);
    }
    for (const std::size_t stages : {3, 6, 36}) {
        measureEstimates(stages);
    }
    return 0;
}
