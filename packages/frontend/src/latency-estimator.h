#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// Estimates how long the parts of a request take, from earlier requests of its route.

namespace masticlever::frontend
{

struct latency_estimator_options {
    common::duration initialEstimate = std::chrono::milliseconds(150); ///< until the first answer of the route
    double learningRate = 0.1; ///< weight of one request in the moving average
    double correctionQuantile = 0.8; ///< share of requests that should finish within the corrected estimate
    double correctionStep = 0.05; ///< change by one request, times the quantile (up) or 1 minus it (down)
    double maximumCorrection = 1.5; ///< limits the effect of an overload in which every request is late
};

class latency_estimator
{
public:
    explicit latency_estimator(latency_estimator_options options) : m_options(options) { }

    /// Records the time from sending a request of the route to the first answer byte for its caller.
    void onFirstAnswer(std::string_view route, common::duration time);
    /// Moving average of these times.
    common::duration expectedFirstAnswer(std::string_view route) const;

    /// Records the time from sending a request of the route to the end of its answer.
    void onAnswered(std::string_view route, common::duration time);
    /// Moving average of these times.
    common::duration expectedAnswer(std::string_view route) const;

    using delay_function = std::function<common::duration(const std::string &service)>;

    /// Expected time from the end of stage \p index to the first answer. \p delayOf returns the current time to make a
    /// piece of a service.
    common::duration remainingAfterStage(const catalog::route &route, std::size_t index,
                                         const delay_function &delayOf) const;

    /// Records that the time from the end of stage \p index to the first answer was \p actual instead of \p expected.
    /// Without the correction, pieces that are queued because they seem to be just in time finish just too late under
    /// load.
    void onRemainingTime(std::string_view route, std::size_t index, common::duration actual, common::duration expected);
    /// Factor by which to multiply the expected time after the stage.
    double correctionFactor(std::string_view route, std::size_t index) const;

private:
    using stage_key = std::pair<std::string, std::size_t>;

    latency_estimator_options m_options;
    using average_map = std::map<std::string, common::duration, std::less<>>; ///< by route

    void updateAverage(average_map &averages, std::string_view route, common::duration time) const;
    common::duration averageOf(const average_map &averages, std::string_view route) const;

    average_map m_firstAnswers;
    average_map m_answers;
    std::map<stage_key, double> m_corrections;
};

/// Time of a call with half a batch; zero for a service that is not known or takes no batches.
common::duration typicalCallTime(const catalog::service_configuration &configuration, std::string_view service);

} // namespace masticlever::frontend
