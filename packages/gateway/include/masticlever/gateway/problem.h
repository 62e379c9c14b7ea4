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
    rejected, ///< an invalid declaration, with the field at fault
    unauthorized,
    forbidden,
    not_found,
    too_large,
    not_ready,
};

struct problem {
    problem_kind kind = problem_kind::invalid;
    std::string detail; ///< one sentence that tells the client what to do
    common::duration retryAfter{}; ///< 0: retrying is pointless
    std::string field; ///< JSON path, or empty
    std::string statusUrl; ///< where the outcome can be queried, or empty
    std::string changeId; ///< of an operator's change, or empty
    std::uint64_t version = 0; ///< current version of the resource in a conflict, or 0
};

int statusOf(problem_kind kind);
std::string toJson(const problem &document);
void answerProblem(exchange &httpExchange, const problem &document);

} // namespace masticlever::gateway
