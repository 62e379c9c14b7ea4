/// \file
/// What the ledger costs. `ledger-bench orders [APPEND_INTERVAL_MS]`: appends and milliseconds per order on a virtual
/// clock, with a log of 2 ms per append and 1 ms to its readers. `ledger-bench replay N`: time and memory to replay N
/// entries (a claim and a finish for each run).

#include "detail/entry.h"

#include <masticlever/ledger/ledger.h>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <string_view>

using namespace masticlever;
using namespace masticlever::ledger;
using namespace std::chrono_literals;

namespace
{

constexpr common::wall_time start{1790000000000ms};
constexpr common::duration appendTime = 2ms;
constexpr common::duration readTime = 1ms;
constexpr common::duration stageTime = 20ms;
constexpr common::duration tick = 100us;
constexpr auto simulated = 10s;
constexpr auto drain = 5s;
constexpr std::size_t positionBytes = 600;
constexpr std::size_t answerBytes = 300;
constexpr unsigned teamCount = 1400;

run_key runNumbered(unsigned long long number, common::wall_time created)
{
    char text[64];
    const auto ms = static_cast<unsigned long long>(created.time_since_epoch().count());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx", (ms >> 16U) & 0xffffffffU, ms & 0xffffU,
                  number & 0xffffffffffffU);
    return {"team-" + std::to_string(number % teamCount), text};
}

/// One instance and its log on a virtual clock.
class order_bench
{
public:
    order_bench(double rate, std::uint32_t stages, std::chrono::milliseconds interval)
        : m_rate(rate), m_stages(stages), m_ledger(optionsOf(interval))
    { }

    void run()
    {
        const auto began = std::chrono::steady_clock::now();
        std::exponential_distribution<double> gap(m_rate);
        std::mt19937_64 random(1);
        common::instant nextArrival = m_now;
        const common::instant end = m_now + simulated;
        readLog();
        while (m_now < end + drain && (m_now < end || m_ended < m_orders)) {
            if (m_now < end && nextArrival <= m_now) {
                begin();
                nextArrival += std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(gap(random)));
                continue;
            }
            step();
            m_now += tick;
        }
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - began;
        report(spent.count());
    }

private:
    struct timed_record {
        common::instant visibleAt;
        platform::log_record record;
    };

    static ledger_options optionsOf(std::chrono::milliseconds interval)
    {
        ledger_options options;
        options.incarnation = "bench";
        options.appendInterval = interval;
        return options;
    }
    common::wall_time wall() const
    {
        return start + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_epoch);
    }

    void begin()
    {
        const run_key run = runNumbered(++m_orders, wall());
        m_claimedAt[run] = m_now;
        m_ledger.claim({run, std::string(64, 'a'), "orders", 0, std::string(positionBytes, 'p'), 0, m_now}, m_now);
    }
    void step()
    {
        readLog();
        if (m_appendId != 0 && m_now >= m_appendEnd) {
            m_ledger.onAppendEnded(std::exchange(m_appendId, 0), m_end - 1, m_now);
        }
        while (!m_calls.empty() && m_calls.begin()->first <= m_now) {
            endStage(m_calls.begin()->second.first, m_calls.begin()->second.second);
            m_calls.erase(m_calls.begin());
        }
        for (append_action &action : m_ledger.takeAppends(m_now)) {
            m_appendId = action.id;
            m_appendEnd = m_now + appendTime;
            m_bytes += action.payload.size();
            m_log.push_back({m_now + appendTime / 2 + readTime, {m_end++, wall(), std::move(action.payload)}});
        }
        m_ledger.onTimer(m_now);
    }
    void readLog()
    {
        platform::log_batch batch{1, m_read, {}};
        while (!m_log.empty() && m_log.front().visibleAt <= m_now) {
            batch.records.push_back(std::move(m_log.front().record));
            m_log.pop_front();
        }
        m_read += batch.records.size();
        batch.end = m_read;
        m_ledger.onRecords(batch, m_now, wall());
        for (const event &e : m_ledger.takeEvents()) {
            if (const auto *granted = std::get_if<claim_granted>(&e)) {
                m_waited += m_now - m_claimedAt[granted->run];
                m_calls.emplace(m_now + stageTime, std::pair(granted->run, granted->stage));
            }
        }
    }
    void endStage(const run_key &run, std::uint32_t stage)
    {
        const bool isLast = stage + 1 == m_stages;
        const epoch at = m_ledger.find(run, wall()).at;
        m_ledger.finishStage(run, stage, "{\"made\":true}", isLast ? std::string(answerBytes, 'r') : "", m_now);
        if (isLast) {
            ++m_ended;
            return;
        }
        m_claimedAt[run] = m_now;
        m_ledger.claim({run, std::string(64, 'a'), "orders", stage + 1, std::string(positionBytes, 'p'), at}, m_now);
    }
    void report(double micros) const
    {
        const double orders = static_cast<double>(m_orders);
        const double waited = std::chrono::duration<double, std::milli>(m_waited).count();
        std::printf(
            "%6.0f orders/s, %u stages: %llu of %llu ended, %.2f appends/order, %.1f appends/s, %.2f ms waited/order, "
            "%.0f bytes/order, %.0f us of this program/order (the virtual clock's ticks included)\n",
            m_rate, m_stages, static_cast<unsigned long long>(m_ended), static_cast<unsigned long long>(m_orders),
            static_cast<double>(m_ledger.counters().appends) / orders,
            static_cast<double>(m_ledger.counters().appends) / std::chrono::duration<double>(simulated).count(),
            waited / orders, static_cast<double>(m_bytes) / orders, micros / orders);
    }

    double m_rate;
    std::uint32_t m_stages;
    run_ledger m_ledger;
    common::instant m_epoch{10s};
    common::instant m_now{10s};
    std::uint64_t m_orders = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_appendId = 0;
    common::instant m_appendEnd;
    platform::log_offset m_end = 1;
    platform::log_offset m_read = 1;
    std::size_t m_bytes = 0;
    common::duration m_waited{0};
    std::deque<timed_record> m_log;
    std::unordered_map<run_key, common::instant> m_claimedAt;
    std::multimap<common::instant, std::pair<run_key, std::uint32_t>> m_calls;
};

std::size_t residentBytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t pages = 0;
    statistics >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

platform::log_record recordOf(platform::log_offset offset, unsigned long long firstRun, unsigned long long runs)
{
    std::vector<std::string> entries;
    for (unsigned long long i = firstRun; i < firstRun + runs; ++i) {
        const run_key run = runNumbered(i, start + std::chrono::milliseconds(i / 8));
        const std::string nonce = "bench#" + std::to_string(i);
        detail::claim_entry claim;
        claim.run = run;
        claim.digest = std::string(64, 'a');
        claim.pipeline = "orders";
        claim.position = std::string(positionBytes, 'p');
        claim.owner = "bench";
        claim.nonce = nonce;
        claim.until = start + 24h;
        entries.push_back(detail::encodeEntry(claim));
        entries.push_back(
            detail::encodeEntry(detail::finish_entry{run, 0, nonce, "{\"made\":true}", std::string(answerBytes, 'r')}));
    }
    return {offset, start, detail::encodeRecord(entries)};
}

void replay(unsigned long long entryCount)
{
    constexpr unsigned long long runsPerRecord = 16;
    ledger_options options;
    options.incarnation = "reader";
    run_ledger ledger(options);
    std::chrono::duration<double, std::micro> spent{0};
    const std::size_t before = residentBytes();
    unsigned long long runs = 0;
    for (platform::log_offset offset = 1; runs < entryCount / 2; ++offset) {
        const unsigned long long count = std::min(runsPerRecord, entryCount / 2 - runs);
        const platform::log_batch batch{1, offset + 1, {recordOf(offset, runs, count)}};
        const auto began = std::chrono::steady_clock::now();
        ledger.onRecords(batch, common::instant(10s), start);
        spent += std::chrono::steady_clock::now() - began;
        runs += count;
        ledger.takeEvents();
    }
    std::printf("%8llu entries: %.2f us/entry, %zu runs, %.0f bytes/finished run\n", entryCount,
                spent.count() / static_cast<double>(entryCount), ledger.size(),
                static_cast<double>(residentBytes() - before) / static_cast<double>(ledger.size()));
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "orders") {
        const std::chrono::milliseconds interval(argc > 2 ? std::atoi(argv[2]) : 0);
        for (const double rate : {5.0, 50.0, 500.0, 2000.0}) {
            order_bench(rate, 1, interval).run();
            order_bench(rate, 2, interval).run();
        }
        return 0;
    }
    if (command == "replay" && argc > 2) {
        replay(std::strtoull(argv[2], nullptr, 10));
        return 0;
    }
    std::fputs("usage: ledger-bench orders [APPEND_INTERVAL_MS] | replay ENTRIES\n", stderr);
    return 2;
}
