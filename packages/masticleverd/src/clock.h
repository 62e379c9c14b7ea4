#pragma once

#include <masticlever/common/moment.h>
#include <masticlever/common/random-source.h>

#include <string>

/// \file
/// Clocks, random numbers and ids of this process.

namespace masticlever::masticleverd
{

/// Reads the monotonic and the wall clock.
common::moment currentMoment();

class system_random : public common::random_source
{
public:
    std::uint64_t next() override;
};

/// Makes a UUIDv7 (RFC 9562) with the time stamp \p wall, in canonical form.
std::string makeUuid7(common::wall_time wall, common::random_source &random);

/// Makes an id that tells this process apart from every earlier process of instance \p name.
std::string makeIncarnation(const std::string &name, common::random_source &random);

} // namespace masticlever::masticleverd
