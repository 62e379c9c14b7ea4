#pragma once

#include <masticlever/common/time.h>
#include <masticlever/gateway/exchange.h>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Problem documents (RFC 9457).

namespace masticlever::gateway
{

enum class problem_kind {
    not_run,
    failed,
    unknown,
    conflict,
    invalid,
    rejected, ///< a declaration that does not hold, with its field
    unauthorized,
    forbidden,
    not_found,
    too_large,
    not_ready,
};

struct problem {
    problem_kind kind = problem_kind::invalid;
    std::string detail; ///< one sentence that names what to do
    common::duration retryAfter{}; ///< 0: asking again makes no sense
    std::string field; ///< JSON path, or empty
    std::string statusUrl; ///< where to ask for the outcome, or empty
    std::string changeId; ///< of an operator's change, or empty
    std::uint64_t version = 0; ///< present version in a conflict, or 0
};

int statusOf(problem_kind kind);
std::string toJson(const problem &what);
void answerProblem(exchange &one, const problem &what);

} // namespace masticlever::gateway
