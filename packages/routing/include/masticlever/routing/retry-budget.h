#pragma once

#include <masticlever/configuration/resources.h>

#include <cstddef>

/// \file
/// Limits retries and hedges to a share of recent successes, so that they cannot amplify an overload.

namespace masticlever::routing
{

struct retry_budget_options {
    double tokensPerSuccess = 0.1; ///< tokens added for each answered call; a retry or hedge costs 1
    double capacity = 10; ///< maximum and initial number of tokens
};

/// Retry budget of one pipeline on one instance.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options) : m_options(options), m_tokens(options.capacity) { }

    /// Adds tokens for an answered call of any stage.
    void onSuccess();
    /// Takes a token for one retry or hedge. Returns false if there is none.
    bool take();
    /// Like take(), but always returns false if \p stage is not repeatable.
    bool take(const configuration::stage_spec &stage) { return stage.repeatable && take(); }
    /// Returns the token of a retry that was not sent.
    void refund();
    /// Applies a changed configuration; tokens above the new capacity are dropped.
    void setOptions(retry_budget_options options);

    double tokens() const { return m_tokens; }

private:
    void add(double tokens);

    retry_budget_options m_options;
    double m_tokens;
};

} // namespace masticlever::routing
