#pragma once

#include <masticlever/common/moment.h>
#include <masticlever/common/random-source.h>

#include <string>

/// \file
/// The process's clocks and its source of randomness.

namespace masticlever::masticleverd
{

common::moment presentMoment();

class system_random : public common::random_source
{
public:
    std::uint64_t next() override;
};

/// A UUIDv7 (RFC 9562) of the present time in canonical form.
std::string makeUuid7(common::wall_time wall, common::random_source &random);

/// Identity of this process among all that have run as instance \p name.
std::string makeIncarnation(const std::string &name, common::random_source &random);

} // namespace masticlever::masticleverd
