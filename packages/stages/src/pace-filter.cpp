#include <masticlever/stages/pace-filter.h>

#include <algorithm>
#include <cmath>

namespace masticlever::stages
{

using common::duration;
using common::instant;

namespace
{

double ratioOf(duration time, duration unit)
{
    return static_cast<double>(std::max<duration::rep>(0, time.count())) / static_cast<double>(unit.count());
}

} // namespace

void pace_filter::onReport(double pace, instant now)
{
    const double kept = std::exp(-ratioOf(now - m_reportedAt, m_options.smoothing));
    m_pace = kept * m_pace + (1 - kept) * std::clamp(pace, m_options.minimum, m_options.maximum);
    m_reportedAt = now;
}

double pace_filter::pace(instant now) const
{
    const double halfLives = ratioOf(now - m_reportedAt - m_options.reportLifetime, m_options.halfLife);
    return 1 + (m_pace - 1) * std::exp2(-halfLives);
}

} // namespace masticlever::stages
