#include "request-placement.h"

#include <algorithm>
#include <map>
#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr double minimumWeight = 0.01; ///< for a data centre without stage endpoints, which may be the only one left

} // namespace

forwarding::data_centre_weights dataCentreWeights(const catalog::endpoint_directory &directory,
                                                  const catalog::route &route, std::string_view service,
                                                  const std::function<bool(std::string_view endpoint)> &isLimited)
{
    std::map<std::string, double> endpointCounts;
    for (const catalog::endpoint_record *endpoint : directory.usable(service)) {
        endpointCounts[endpoint->dataCentre] += 1;
    }
    forwarding::data_centre_weights weights;
    for (const auto &entry : endpointCounts) {
        const std::string &dataCentre = entry.first;
        double lowestShare = 1;
        for (const catalog::stage_spec &stage : route.stages) {
            auto stageEndpoints = directory.usable(stage.service);
            std::erase_if(stageEndpoints, [&](const auto *candidate) { return isLimited(candidate->id); });
            const auto local = std::ranges::count_if(
                stageEndpoints, [&](const auto *candidate) { return candidate->dataCentre == dataCentre; });
            const auto total = static_cast<double>(std::max<std::size_t>(1, stageEndpoints.size()));
            lowestShare = std::min(lowestShare, static_cast<double>(local) / total);
        }
        weights[dataCentre] = std::max(minimumWeight, lowestShare / entry.second);
    }
    return weights;
}

std::string dataCentreOfInputs(std::span<const std::string> inputs, const result_locator &locate)
{
    std::map<std::string, std::size_t> counts;
    for (const std::string &handle : inputs) {
        ++counts[locate(handle)];
    }
    const auto largest = std::ranges::max_element(counts, {}, &std::pair<const std::string, std::size_t>::second);
    return largest == counts.end() ? std::string() : largest->first;
}

double inputBytes(const catalog::route &route, const stages::stage_graph &graph, std::size_t stage)
{
    double bytes = 0;
    for (const std::size_t predecessor : route.stages[stage].after) {
        bytes += route.stages[predecessor].resultBytes * static_cast<double>(graph.handlesOf(predecessor).size());
    }
    return bytes;
}

forwarding::data_centre_bytes finalInputBytes(const catalog::route &route, const stages::stage_graph &graph,
                                              const result_locator &locate)
{
    forwarding::data_centre_bytes bytes;
    for (const std::size_t stage : route.finalStages()) {
        for (const std::string &handle : graph.handlesOf(stage)) {
            bytes[locate(handle)] += route.stages[stage].resultBytes;
        }
    }
    return bytes;
}

} // namespace masticlever::frontend
