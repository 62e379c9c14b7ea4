#pragma once

#include <masticlever/forwarding/endpoint-choice.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

/// \file
/// Options, results and endpoints of the simulation of shared load.

namespace masticlever::forwarding::simulation
{

struct sim_options {
    std::size_t instances = 65;
    std::size_t endpoints = 140;
    double maxReportAge = 0.5; ///< seconds; the youngest reports are 0.1 s old
    double requestsPerEndpoint = 1.64; ///< per second: 230 on 140 endpoints, as measured
    double seconds = 20;
    bool sharesLoad = true; ///< whether instances are given reports of the others
    endpoint_choice_options choice;
    unsigned seed = 1;
    std::uint64_t cacheTokens = 160'000;
    double failingShare = 0; ///< of the endpoints, which fail every request at once
    std::size_t partitioned = 0; ///< number of instances without reports that no other one sees
};

struct sim_result {
    std::size_t requests = 0;
    double lateFirst = 0; ///< share of requests with a first event after half of the objective
    double paused = 0; ///< share of requests with a pause of more than 300 ms between two events
    double late = 0; ///< share with either
    double median = 0, p90 = 0, p99 = 0; ///< time to the first event of long prompts, ms
    double rereadPerRequest = 0; ///< tokens of shared parts that another endpoint had processed before
    double peakOverMean = 0; ///< work assigned in a second to the busiest endpoint over the mean, mean of all seconds
    double worstPeakOverMean = 0;
    double fullest = 0; ///< most tokens held by an endpoint over its memory
    std::size_t unplaced = 0; ///< requests for which no endpoint was chosen
    double failed = 0; ///< share of requests that two endpoints failed
};

class engine_random : public common::random_source
{
public:
    explicit engine_random(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/// A simulated model endpoint.
struct sim_endpoint {
    double speed = 1; ///< time that work takes, 1 = as usual
    double busySince = 0, busyUntil = 0;
    double held = 0;
    std::list<std::string> cache; ///< recently used parts first
    std::map<std::string, std::pair<std::list<std::string>::iterator, double>> cached;
    double cachedTokens = 0;
    std::multiset<double> ends; ///< of the requests in flight
    double work = 0; ///< ms assigned in this second
    double pace = 1; ///< smoothed speed
};

} // namespace masticlever::forwarding::simulation
