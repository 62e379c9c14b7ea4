#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// \file
/// How long the parts of a request are likely to take: learnt from the requests before it.

namespace masticlever::frontend
{

struct service_pace_options {
    common::duration firstGuess = std::chrono::milliseconds(150); ///< before any request of the route was seen
    double learningRate = 0.1; ///< weight of one request
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

private:
    service_pace_options m_options;
    std::map<std::string, common::duration, std::less<>> m_routes;
};

/// Time of a call with half a batch.
common::duration typicalCall(const catalog::service_configuration &configuration, std::string_view service);

} // namespace masticlever::frontend
