#pragma once

#include <string_view>

/// \file
/// Shell completion.

namespace masticlever::masticleverctl
{

/// Script for bash; `source <(masticleverctl completion bash)`.
std::string_view bashCompletion();

} // namespace masticlever::masticleverctl
