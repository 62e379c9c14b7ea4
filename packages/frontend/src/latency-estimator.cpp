#include "latency-estimator.h"

#include <algorithm>

namespace masticlever::frontend
{

void latency_estimator::updateAverage(average_map &averages, std::string_view route, common::duration time) const
{
    const auto [found, isFirst] = averages.try_emplace(std::string(route), time);
    if (!isFirst) {
        found->second += common::scaled(time - found->second, m_options.learningRate);
    }
}

common::duration latency_estimator::averageOf(const average_map &averages, std::string_view route) const
{
    const auto found = averages.find(route);
    return found == averages.end() ? m_options.initialEstimate : found->second;
}

void latency_estimator::onFirstAnswer(std::string_view route, common::duration time)
{
    updateAverage(m_firstAnswers, route, time);
}

common::duration latency_estimator::expectedFirstAnswer(std::string_view route) const
{
    return averageOf(m_firstAnswers, route);
}

void latency_estimator::onAnswered(std::string_view route, common::duration time)
{
    updateAverage(m_answers, route, time);
}

common::duration latency_estimator::expectedAnswer(std::string_view route) const
{
    return averageOf(m_answers, route);
}

common::duration latency_estimator::remainingAfterStage(const catalog::route &route, std::size_t index,
                                                        const delay_function &delayOf) const
{
    common::duration longest{};
    bool hasSuccessor = false;
    for (std::size_t i = 0; i < route.stages.size(); ++i) {
        const auto &after = route.stages[i].after;
        if (std::ranges::find(after, index) != after.end()) {
            hasSuccessor = true;
            longest = std::max(longest, delayOf(route.stages[i].service) + remainingAfterStage(route, i, delayOf));
        }
    }
    return hasSuccessor ? longest : expectedFirstAnswer(route.name);
}

void latency_estimator::onRemainingTime(std::string_view route, std::size_t index, common::duration actual,
                                        common::duration expected)
{
    if (expected.count() <= 0) {
        return;
    }
    double &correction = m_corrections.try_emplace(stage_key(route, index), 1.0).first->second;
    const double ratio = static_cast<double>(actual.count()) / static_cast<double>(expected.count());
    const double weight = ratio > correction ? m_options.correctionQuantile : m_options.correctionQuantile - 1;
    correction = std::clamp(correction + m_options.correctionStep * weight, 1.0, m_options.maximumCorrection);
}

double latency_estimator::correctionFactor(std::string_view route, std::size_t index) const
{
    const auto found = m_corrections.find(stage_key(route, index));
    return found == m_corrections.end() ? 1.0 : found->second;
}

common::duration typicalCallTime(const catalog::service_configuration &configuration, std::string_view service)
{
    const catalog::service *found = configuration.findService(service);
    if (found == nullptr || !found->batches) {
        return {};
    }
    const auto half = static_cast<common::duration::rep>((found->batches->batchSize + 1) / 2);
    return found->batches->callOverhead + found->batches->pieceTime * half;
}

} // namespace masticlever::frontend
