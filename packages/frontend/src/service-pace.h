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
/// How long the parts of a request are likely to take: learnt from the requests before it.

namespace masticlever::frontend
{

struct service_pace_options {
    common::duration firstGuess = std::chrono::milliseconds(150); ///< before any request of the route was seen
    double learningRate = 0.1; ///< weight of one request
    double stretchQuantile = 0.8; ///< part of the requests whose rest takes no longer than the stretched expectation
    double stretchStep = 0.05; ///< by which one request moves the stretch, times the quantile or what is left of it
    double longestStretch = 1.5; ///< bounds what an overload that makes all late can teach
};

class service_pace
{
public:
    explicit service_pace(service_pace_options options) : m_options(options) { }

    /// From sending a request of the route to the first byte that its caller can use.
    void onFirstAnswer(std::string_view route, common::duration time);
    common::duration firstAnswer(std::string_view route) const;

    using delay_function = std::function<common::duration(const std::string &service)>;

    /// Expected time from the end of stage \p index to the first answer; \p delayOf tells how long a piece of a
    /// service takes now.
    common::duration afterStage(const catalog::route &route, std::size_t index, const delay_function &delayOf) const;

    /// What followed stage \p index took \p actual in place of \p expected. Answers a load at which what is kept as
    /// just in time comes just too late.
    void onRest(std::string_view route, std::size_t index, common::duration actual, common::duration expected);
    /// Factor for what is expected to follow the stage.
    double stretch(std::string_view route, std::size_t index) const;

private:
    using stage_key = std::pair<std::string, std::size_t>;

    service_pace_options m_options;
    std::map<std::string, common::duration, std::less<>> m_routes;
    std::map<stage_key, double> m_stretches;
};

/// Time of a call with half a batch.
common::duration typicalCall(const catalog::service_configuration &configuration, std::string_view service);

} // namespace masticlever::frontend
