#pragma once

#include <masticlever/common/time.h>

/// \file
/// Smooths the pace that an endpoint reports of itself, which changes many times a second.

namespace masticlever::stages
{

struct pace_filter_options {
    /// Time constant. After a second, nine tenths of a change are in effect.
    common::duration smoothing = std::chrono::milliseconds(400);
    /// Without reports, the pace returns to 1 with this half-life, so that an endpoint that was too slow to get calls
    /// is tried again.
    common::duration halfLife = std::chrono::seconds(2);
    common::duration reportLifetime = std::chrono::seconds(1); ///< a report applies in full for this time
    double minimum = 0.25;
    double maximum = 4;
};

class pace_filter
{
public:
    explicit pace_filter(pace_filter_options options) : m_options(options) { }

    void onReport(double pace, common::instant now);
    double pace(common::instant now) const;

private:
    pace_filter_options m_options;
    double m_pace = 1;
    common::instant m_reportedAt;
};

} // namespace masticlever::stages
