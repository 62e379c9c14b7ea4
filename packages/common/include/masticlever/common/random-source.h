#pragma once

#include <cstdint>

/// \file
/// Randomness as a parameter of decision objects.

namespace masticlever::common
{

class random_source
{
public:
    virtual ~random_source() = default;
    virtual std::uint64_t next() = 0; ///< 64 uniformly distributed bits
};

} // namespace masticlever::common
