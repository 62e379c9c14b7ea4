#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

/// \file
/// Identity of one call to an endpoint, unique in the fleet.

namespace masticlever::common
{

/// The endpoint echoes toString() in its answer; an answer with another id is dropped.
struct call_id {
    std::string incarnation; ///< incarnation id of the calling instance
    std::uint64_t sequence = 0;

    auto operator<=>(const call_id &) const = default;
    std::string toString() const { return incarnation + '-' + std::to_string(sequence); }
};

/// Issues call ids of one incarnation.
class call_id_source
{
public:
    explicit call_id_source(std::string incarnation) : m_incarnation(std::move(incarnation)) { }

    call_id next() { return {m_incarnation, ++m_sequence}; }

private:
    std::string m_incarnation;
    std::uint64_t m_sequence = 0;
};

} // namespace masticlever::common
