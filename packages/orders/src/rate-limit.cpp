#include <masticlever/orders/rate-limit.h>

#include <algorithm>
#include <chrono>

namespace masticlever::orders
{

void rate_limit::restart(common::instant now)
{
    m_tokens = 0;
    m_filledAt = now;
}

bool rate_limit::take(common::instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_tokens = std::min(m_options.burst, m_tokens + seconds * m_options.perSecond);
    m_filledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace masticlever::orders
