#pragma once

#include "shared-load-model.h"

#include <masticlever/common/digest.h>
#include <masticlever/forwarding/endpoint-choice.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// The decision objects of many instances in front of simulated model endpoints, on a virtual clock without a network.
/// An endpoint processes the prompt tokens that are not cached one request after the other and delays all its events
/// meanwhile. Every instance sees what the others have in flight as of some time ago.

namespace masticlever::forwarding::simulation
{

class fleet
{
public:
    explicit fleet(const sim_options &options) : m_options(options), m_engine(options.seed)
    {
        constexpr double speeds[] = {0.7, 0.7, 1.7};
        const char *const dataCentres[] = {"west", "north", "east"};
        for (std::size_t i = 0; i < options.endpoints; ++i) {
            catalog::endpoint_record record;
            record.id = "e" + std::to_string(i);
            record.dataCentre = dataCentres[(i / 3) % 3];
            record.slots = 16;
            m_records.push_back(record);
            m_endpoints.emplace_back().speed = speeds[i % 3];
            m_index[record.id] = i;
        }
        for (const auto &record : m_records) {
            m_pointers.push_back(&record);
        }
        m_choices.assign(options.instances, endpoint_choice(options.choice));
        m_own.assign(options.instances * options.endpoints, {});
        std::vector<double> weights(1220);
        for (std::size_t i = 0; i < weights.size(); ++i) {
            weights[i] = 1 / std::pow(i + 1, 0.4); // some parts are asked for far more often than others
        }
        m_part = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    sim_result run()
    {
        double nextSnapshot = 0;
        double nextSecond = 1;
        double nextArrival = 0;
        while (nextArrival < m_options.seconds) {
            const double nextEnd = m_events.empty() ? 1e9 : m_events.top().at;
            m_now = std::min({nextSnapshot, nextSecond, nextArrival, nextEnd});
            if (m_now == nextSnapshot) {
                takeSnapshot();
                nextSnapshot += snapshotInterval;
            } else if (m_now == nextSecond) {
                closeSecond();
                nextSecond += 1;
            } else if (m_now == nextEnd) {
                endEvent();
            } else {
                // Some of the requests arrive at several instances at the same moment.
                const std::size_t group = uniform() < 0.3 ? 4 : 1;
                for (std::size_t i = 0; i < group; ++i) {
                    arrive();
                }
                nextArrival += std::exponential_distribution<double>(rate() / (0.3 * 4 + 0.7))(m_engine);
            }
        }
        return summarise();
    }

private:
    static constexpr double snapshotInterval = 0.05;
    static constexpr double tokensPerMs = 31;

    struct totals {
        double inFlight = 0, tokens = 0, pending = 0;
    };
    struct snapshot {
        std::vector<totals> all, own;
        std::vector<double> pace, failed;
    };
    struct request {
        std::size_t instance = 0, endpoint = 0;
        call_tokens tokens;
        double firstAt = 0, endAt = 0, sentAt = 0;
        bool isLong = false, isPaused = false, hasFirst = false, isFailed = false, isMeasured = false;
    };
    struct timed_event {
        double at = 0;
        std::size_t request = 0;
        bool operator>(const timed_event &other) const { return at > other.at; }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }
    common::instant now() const { return common::instant(common::duration(std::int64_t(1e9 + m_now * 1e6))); }

    double rate() const
    {
        const double wave = 1 + 0.55 * std::sin(m_now * 2 * 3.14159 / 7);
        const bool isBurst = std::fmod(m_now, 10) > 6 && std::fmod(m_now, 10) < 7.5;
        return m_options.requestsPerEndpoint * static_cast<double>(m_options.endpoints) * wave * (isBurst ? 2 : 1);
    }

    /// Usual speed, and a time of 0.6 s in every 6 s in which work takes 2.5 times as long.
    double speedOf(std::size_t endpoint) const
    {
        const double phase = std::fmod(m_now + static_cast<double>(endpoint) * 1.37, 6);
        return m_endpoints[endpoint].speed * (phase < 0.6 ? 2.5 : 1);
    }

    totals &own(std::size_t instance, std::size_t endpoint) { return m_own[instance * m_options.endpoints + endpoint]; }

    void takeSnapshot()
    {
        snapshot taken;
        taken.all.resize(m_options.endpoints);
        taken.own = m_own;
        for (std::size_t i = m_options.partitioned; i < m_options.instances; ++i) {
            for (std::size_t e = 0; e < m_options.endpoints; ++e) {
                const totals &of = own(i, e);
                taken.all[e].inFlight += of.inFlight;
                taken.all[e].tokens += of.tokens;
                taken.all[e].pending += of.pending;
            }
        }
        for (std::size_t e = 0; e < m_options.endpoints; ++e) {
            // Learnt within about a second.
            m_endpoints[e].pace += (speedOf(e) - m_endpoints[e].pace) * snapshotInterval;
            taken.pace.push_back(m_endpoints[e].pace);
            taken.failed.push_back(m_failures.contains(e) ? 1 : 0);
        }
        m_snapshots.push_front(std::move(taken));
        if (m_snapshots.size() > 60) {
            m_snapshots.pop_back();
        }
    }

    routing::endpoint_view view(std::size_t instance, std::size_t endpoint) const
    {
        const auto window = static_cast<std::uint64_t>(m_now * 2);
        const double share = static_cast<double>((instance * 7919 + window * 104729 + endpoint * 31) % 1000) / 1000;
        const double age = 0.1 + (m_options.maxReportAge - 0.1) * share;
        const auto index = static_cast<std::size_t>(age / snapshotInterval);
        routing::endpoint_view seen;
        if (index >= m_snapshots.size() || instance < m_options.partitioned) {
            return seen;
        }
        const totals &all = m_snapshots[index].all[endpoint];
        const totals &self = m_snapshots[index].own[instance * m_options.endpoints + endpoint];
        seen.othersInFlight = all.inFlight - self.inFlight;
        seen.othersTokens = all.tokens - self.tokens;
        seen.othersPendingTokens = all.pending - self.pending;
        seen.pace = m_snapshots[index].pace[endpoint];
        seen.failureShare = m_snapshots[index].failed[endpoint];
        seen.evidence = seen.failureShare > 0 ? m_failures.at(endpoint).size() : 0;
        seen.age = common::duration(std::int64_t(age * 1e6));
        seen.isKnown = true;
        return seen;
    }

    void arrive()
    {
        const std::size_t instance = m_engine() % m_options.instances;
        const bool isLong = uniform() < 0.55;
        const int part = m_part(m_engine);
        protocol::request_attributes attributes;
        attributes.promptTokens = isLong ? 9200 : 2400;
        attributes.outputTokens = 40;
        attributes.prompt = isLong ? std::vector<protocol::prompt_part>{{"p" + std::to_string(part), 3780}, {"", 5420}}
                                   : std::vector<protocol::prompt_part>{{"q" + std::to_string(part), 900}, {"", 1500}};
        ++m_result.requests;
        std::vector<std::string> excluded;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::size_t sentTo = send(instance, attributes, excluded, isLong);
            if (sentTo == m_options.endpoints) {
                m_result.unplaced += attempt == 0 ? 1 : 0;
                m_result.failed += attempt == 1 ? 1 : 0;
                return;
            }
            if (!isFailing(sentTo)) {
                return;
            }
            m_failures[sentTo].insert(instance);
            excluded.push_back(m_records[sentTo].id);
        }
        m_result.failed += 1;
    }

    bool isFailing(std::size_t endpoint) const
    {
        const auto number = static_cast<double>(endpoint);
        return std::fmod(number * m_options.failingShare, 1) + m_options.failingShare >= 1 - 1e-9;
    }

    std::size_t send(std::size_t instance, const protocol::request_attributes &attributes,
                     const std::vector<std::string> &excluded, bool isLong)
    {
        const std::string home = m_records[(instance % 3) * 3].dataCentre;
        const endpoint_views views{[&](std::string_view id) { return view(instance, m_index.find(id)->second); },
                                   m_options.cacheTokens};
        const placement place{home, m_noWeights, m_noInputs, m_options.sharesLoad ? &views : nullptr};
        const auto chosen = m_choices[instance].select(m_pointers, excluded, attributes, place, now(), m_random);
        if (chosen.id.empty()) {
            return m_options.endpoints;
        }
        const std::size_t e = m_index.find(chosen.id)->second;
        endpoint_choice &choice = m_choices[instance];
        choice.onCallBegins(chosen.id, chosen.tokens);
        if (isFailing(e)) {
            choice.onCallEnds(chosen.id, call_outcome::failed, now(), chosen.tokens);
            return e;
        }
        totals &of = own(instance, e);
        of.inFlight += 1;
        of.tokens += chosen.tokens.held;
        of.pending += chosen.tokens.pending;
        process(e, instance, attributes, chosen.tokens, isLong);
        return e;
    }

    void process(std::size_t e, std::size_t instance, const protocol::request_attributes &attributes,
                 const call_tokens &tokens, bool isLong)
    {
        sim_endpoint &endpoint = m_endpoints[e];
        const double toProcess
            = static_cast<double>(attributes.promptTokens) - takeCached(endpoint, attributes.prompt[0]);
        const double speed = speedOf(e);
        const double load = 1 + 0.03 * static_cast<double>(endpoint.ends.size());
        const double time = toProcess / tokensPerMs / 1000 * speed * load;
        double begin = std::max(m_now, endpoint.busyUntil);
        if (endpoint.ends.size() >= m_records[e].slots) {
            begin = std::max(begin, *std::next(endpoint.ends.rbegin(), std::ptrdiff_t(m_records[e].slots) - 1));
        }
        if (begin > endpoint.busyUntil) {
            endpoint.busySince = begin;
        }
        endpoint.busyUntil = begin + time;
        endpoint.work += time * 1000;
        request added;
        added.instance = instance;
        added.endpoint = e;
        added.tokens = tokens;
        added.sentAt = m_now;
        added.firstAt = begin + time;
        added.endAt = added.firstAt + 0.9 * speed * (0.5 + uniform());
        added.isLong = isLong;
        added.isMeasured = m_now > 2;
        for (const std::size_t other : m_running[e]) {
            request &running = m_requests[other];
            const double since = std::max(endpoint.busySince, running.firstAt);
            running.isPaused |= running.endAt > since && endpoint.busyUntil - since > 0.3;
        }
        endpoint.ends.insert(added.endAt);
        endpoint.held += tokens.held;
        m_result.fullest = std::max(m_result.fullest, endpoint.held / static_cast<double>(m_options.cacheTokens));
        m_requests.push_back(added);
        m_running[e].insert(m_requests.size() - 1);
        m_events.push({added.firstAt, m_requests.size() - 1});
    }

    /// Returns the number of cached tokens of the part, which is cached from now on.
    double takeCached(sim_endpoint &endpoint, const protocol::prompt_part &part)
    {
        const auto size = static_cast<double>(part.tokens);
        const auto found = endpoint.cached.find(part.id);
        const bool isCached = found != endpoint.cached.end();
        if (isCached) {
            endpoint.cache.erase(found->second.first);
        } else {
            endpoint.cachedTokens += size;
            m_result.rereadPerRequest += m_known.insert(part.id).second || m_now < 2 ? 0 : size;
        }
        endpoint.cache.push_front(part.id);
        endpoint.cached[part.id] = {endpoint.cache.begin(), size};
        while (endpoint.cachedTokens > static_cast<double>(m_options.cacheTokens) / 2) {
            endpoint.cachedTokens -= endpoint.cached[endpoint.cache.back()].second;
            endpoint.cached.erase(endpoint.cache.back());
            endpoint.cache.pop_back();
        }
        return isCached ? size : 0;
    }

    void endEvent()
    {
        const std::size_t number = m_events.top().request;
        m_events.pop();
        request &of = m_requests[number];
        endpoint_choice &choice = m_choices[of.instance];
        totals &self = own(of.instance, of.endpoint);
        const std::string &id = m_records[of.endpoint].id;
        if (!of.hasFirst) {
            of.hasFirst = true;
            self.pending -= of.tokens.pending;
            choice.onCallAnswers(id, of.tokens);
            m_events.push({of.endAt, number});
            return;
        }
        self.inFlight -= 1;
        self.tokens -= of.tokens.held;
        choice.onCallEnds(id, call_outcome::answered, now(), of.tokens);
        sim_endpoint &endpoint = m_endpoints[of.endpoint];
        endpoint.ends.erase(endpoint.ends.find(of.endAt));
        endpoint.held -= of.tokens.held;
        m_running[of.endpoint].erase(number);
    }

    void closeSecond()
    {
        double sum = 0;
        double peak = 0;
        for (sim_endpoint &endpoint : m_endpoints) {
            sum += endpoint.work;
            peak = std::max(peak, endpoint.work);
            endpoint.work = 0;
        }
        if (m_now > 2 && sum > 0) {
            m_peaks.push_back(peak * static_cast<double>(m_options.endpoints) / sum);
        }
    }

    sim_result summarise()
    {
        std::vector<double> firsts;
        double measured = 0;
        for (const request &of : m_requests) {
            if (!of.isMeasured) {
                continue;
            }
            const double first = (of.firstAt - of.sentAt) * 1000;
            measured += 1;
            m_result.lateFirst += first > 700 ? 1 : 0;
            m_result.paused += of.isPaused ? 1 : 0;
            m_result.late += first > 700 || of.isPaused ? 1 : 0;
            if (of.isLong) {
                firsts.push_back(first);
            }
        }
        std::ranges::sort(firsts);
        const auto at
            = [&](double share) { return firsts.empty() ? 0 : firsts[std::size_t(share * double(firsts.size() - 1))]; };
        m_result.median = at(0.5);
        m_result.p90 = at(0.9);
        m_result.p99 = at(0.99);
        m_result.lateFirst /= measured;
        m_result.paused /= measured;
        m_result.late /= measured;
        m_result.rereadPerRequest /= measured;
        m_result.failed /= static_cast<double>(m_result.requests);
        for (const double peak : m_peaks) {
            m_result.peakOverMean += peak / static_cast<double>(m_peaks.size());
            m_result.worstPeakOverMean = std::max(m_result.worstPeakOverMean, peak);
        }
        return m_result;
    }

    sim_options m_options;
    std::mt19937_64 m_engine;
    engine_random m_random{7};
    std::discrete_distribution<int> m_part;
    std::vector<catalog::endpoint_record> m_records;
    std::vector<const catalog::endpoint_record *> m_pointers;
    std::map<std::string, std::size_t, std::less<>> m_index;
    std::vector<sim_endpoint> m_endpoints;
    std::vector<endpoint_choice> m_choices;
    std::vector<totals> m_own; ///< by instance and endpoint
    std::deque<snapshot> m_snapshots;
    std::vector<request> m_requests;
    std::map<std::size_t, std::set<std::size_t>> m_running;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
    std::map<std::size_t, std::set<std::size_t>> m_failures; ///< endpoint: instances that it failed
    std::set<std::string> m_known;
    std::vector<double> m_peaks;
    data_centre_weights m_noWeights;
    data_centre_bytes m_noInputs;
    sim_result m_result;
    double m_now = 0;
};

inline sim_result simulate(const sim_options &options)
{
    return fleet(options).run();
}

} // namespace masticlever::forwarding::simulation
