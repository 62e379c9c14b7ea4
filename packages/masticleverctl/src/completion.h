#pragma once

#include <string_view>

/// \file
/// Shell completion of masticleverctl.

namespace masticlever::masticleverctl
{

/// Completion script for bash, loaded with `source <(masticleverctl completion bash)`.
std::string_view bashCompletion();

} // namespace masticlever::masticleverctl
