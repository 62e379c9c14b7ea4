#pragma once

#include <cstdint>

/// \file
/// Interface of a random number generator, passed as a parameter so that tests can be deterministic.

namespace masticlever::common
{

class random_source
{
public:
    virtual ~random_source() = default;
    virtual std::uint64_t next() = 0; ///< 64 uniformly distributed bits
};

} // namespace masticlever::common
