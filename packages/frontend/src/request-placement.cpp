#include "request-placement.h"

#include <algorithm>
#include <map>
#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr double leastWeight = 0.01; ///< of a data centre without stage endpoints

} // namespace

forwarding::data_centre_weights dataCentreWeights(const catalog::endpoint_directory &directory,
                                                  const catalog::route &route, std::string_view service)
{
    std::map<std::string, double> shares;
    for (const catalog::endpoint_record *endpoint : directory.usable(service)) {
        shares[endpoint->dataCentre] += 1;
    }
    forwarding::data_centre_weights weights;
    for (const auto &share : shares) {
        const std::string &dataCentre = share.first;
        double scarcest = 1;
        for (const catalog::stage_spec &stage : route.stages) {
            const auto makers = directory.usable(stage.service);
            const auto near
                = std::ranges::count_if(makers, [&](const auto *maker) { return maker->dataCentre == dataCentre; });
            const auto all = static_cast<double>(std::max<std::size_t>(1, makers.size()));
            scarcest = std::min(scarcest, static_cast<double>(near) / all);
        }
        weights[dataCentre] = std::max(leastWeight, scarcest / share.second);
    }
    return weights;
}

std::string dataCentreOfInputs(const stages::stage_graph &graph, std::size_t stage, const result_locator &locate)
{
    std::map<std::string, std::size_t> counts;
    for (const std::string &handle : graph.inputsOf(stage)) {
        ++counts[locate(handle)];
    }
    const auto most = std::ranges::max_element(counts, {}, &std::pair<const std::string, std::size_t>::second);
    return most == counts.end() ? std::string() : most->first;
}

double inputBytes(const catalog::route &route, const stages::stage_graph &graph, std::size_t stage)
{
    double bytes = 0;
    for (const std::size_t before : route.stages[stage].after) {
        bytes += route.stages[before].resultBytes * static_cast<double>(graph.handlesOf(before).size());
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
