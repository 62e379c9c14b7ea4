#pragma once

#include <masticlever/configuration/resources.h>

#include <cstddef>

/// \file
/// Limits retries and hedges to a share of recent successes, so that they cannot multiply an overload.

namespace masticlever::routing
{

struct retry_budget_options {
    double perSuccess = 0.1; ///< tokens that one answered call earns; one retry or hedge costs 1
    double capacity = 10; ///< most tokens kept; also the tokens at the start
};

/// Budget of one pipeline on one instance.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options) : m_options(options), m_tokens(options.capacity) { }

    /// A call of any stage was answered.
    void onSuccess();
    /// Takes the token for one retry or hedge; false when there is none.
    bool take();
    /// As take(), and false when \p stage is not repeatable.
    bool take(const configuration::stage_spec &stage) { return stage.repeatable && take(); }
    /// Gives back the token of a retry that was not sent.
    void refund();
    /// Takes over a changed configuration; tokens above the new capacity are lost.
    void setOptions(retry_budget_options options);

    double tokens() const { return m_tokens; }

private:
    void add(double tokens);

    retry_budget_options m_options;
    double m_tokens;
};

} // namespace masticlever::routing
