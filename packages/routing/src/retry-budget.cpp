#include <masticlever/routing/retry-budget.h>

#include <algorithm>

namespace masticlever::routing
{

void retry_budget::onSuccess()
{
    add(m_options.tokensPerSuccess);
}

bool retry_budget::take()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void retry_budget::refund()
{
    add(1);
}

void retry_budget::setOptions(retry_budget_options options)
{
    m_options = options;
    add(0);
}

void retry_budget::add(double tokens)
{
    m_tokens = std::min(m_options.capacity, m_tokens + tokens);
}

} // namespace masticlever::routing
