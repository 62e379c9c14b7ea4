#pragma once

#include <masticlever/configuration/resources.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// JSON forms that a run hands to endpoints and to the ledger.

namespace masticlever::runs::detail
{

/// All that another instance needs to go on with a run.
struct position {
    std::string pipelineName;
    configuration::pipeline_spec pipeline;
    std::string body; ///< JSON
    std::vector<std::string> results; ///< JSON by stage
};

std::string encodePosition(const position &what);
std::optional<position> decodePosition(std::string_view json);

/// Body of a stage call.
std::string makeCallBody(const configuration::pipeline_spec &pipeline, std::size_t stage, std::string_view body,
                         std::span<const std::string> results);

/// A final answer as the ledger keeps it.
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

/// Answer of a status query; anything malformed counts as not known.
status_answer parseStatus(std::string_view json);

} // namespace masticlever::runs::detail
