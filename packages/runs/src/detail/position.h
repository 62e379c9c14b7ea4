#pragma once

#include <masticlever/configuration/resources.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// JSON encodings of what a run sends to endpoints and stores in the ledger.

namespace masticlever::runs::detail
{

/// The state that another instance needs to continue a run.
struct position {
    std::string pipelineName;
    configuration::pipeline_spec pipeline;
    std::string body; ///< JSON
    std::vector<std::string> results; ///< JSON by stage
};

std::string encodePosition(const position &what);
std::optional<position> decodePosition(std::string_view json);

/// Body of a stage call: the request body and the results of the stage's inputs, which are the previous stage unless
/// the pipeline names others.
std::string makeCallBody(const configuration::pipeline_spec &pipeline, std::size_t stage, std::string_view body,
                         std::span<const std::string> results);

/// A final answer as stored in the ledger.
struct recorded_answer {
    std::string result;
    bool isText = false;
};

std::string encodeAnswer(const recorded_answer &answer);
recorded_answer decodeAnswer(std::string_view json);

enum class status_state { done, running, not_known };

struct status_answer {
    status_state state = status_state::not_known;
    std::string result; ///< JSON
};

/// Parses the answer of a status query; a malformed answer counts as not_known.
status_answer parseStatus(std::string_view json);

} // namespace masticlever::runs::detail
