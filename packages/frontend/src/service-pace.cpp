#include "service-pace.h"

#include <algorithm>

namespace masticlever::frontend
{

void service_pace::onFirstAnswer(std::string_view route, common::duration time)
{
    const auto [found, isFirst] = m_routes.try_emplace(std::string(route), time);
    if (!isFirst) {
        found->second += common::scaled(time - found->second, m_options.learningRate);
    }
}

common::duration service_pace::firstAnswer(std::string_view route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? m_options.firstGuess : found->second;
}

common::duration service_pace::afterStage(const catalog::route &route, std::size_t index,
                                          const delay_function &delayOf) const
{
    common::duration longest{};
    bool isFollowed = false;
    for (std::size_t i = 0; i < route.stages.size(); ++i) {
        const auto &after = route.stages[i].after;
        if (std::ranges::find(after, index) != after.end()) {
            isFollowed = true;
            longest = std::max(longest, delayOf(route.stages[i].service) + afterStage(route, i, delayOf));
        }
    }
    return isFollowed ? longest : firstAnswer(route.name);
}

void service_pace::onRest(std::string_view route, std::size_t index, common::duration actual, common::duration expected)
{
    if (expected.count() <= 0) {
        return;
    }
    double &known = m_stretches.try_emplace(stage_key(route, index), 1.0).first->second;
    const double sample = static_cast<double>(actual.count()) / static_cast<double>(expected.count());
    const double move = sample > known ? m_options.stretchQuantile : m_options.stretchQuantile - 1;
    known = std::clamp(known + m_options.stretchStep * move, 1.0, m_options.longestStretch);
}

double service_pace::stretch(std::string_view route, std::size_t index) const
{
    const auto found = m_stretches.find(stage_key(route, index));
    return found == m_stretches.end() ? 1.0 : found->second;
}

common::duration typicalCall(const catalog::service_configuration &configuration, std::string_view service)
{
    const catalog::service *found = configuration.findService(service);
    if (found == nullptr || !found->batches) {
        return {};
    }
    const auto half = static_cast<common::duration::rep>((found->batches->batchSize + 1) / 2);
    return found->batches->callTime + found->batches->pieceTime * half;
}

} // namespace masticlever::frontend
