#include "clock.h"

#include <QRandomGenerator64>

#include <array>
#include <cstdio>

namespace masticlever::masticleverd
{

common::moment currentMoment()
{
    const auto now = std::chrono::time_point_cast<common::duration>(std::chrono::steady_clock::now());
    const auto wall = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return {now, wall};
}

std::uint64_t system_random::next()
{
    return QRandomGenerator64::system()->generate64();
}

std::string makeUuid7(common::wall_time wall, common::random_source &random)
{
    constexpr std::uint64_t version = 0x7000;
    constexpr std::uint64_t variant = 0x8000;
    const auto milliseconds = static_cast<std::uint64_t>(wall.time_since_epoch().count());
    const std::uint64_t high = random.next();
    const std::uint64_t low = random.next();
    std::array<char, 37> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-%04llx-%04llx-%012llx",
                  static_cast<unsigned long long>((milliseconds >> 16U) & 0xffffffffU),
                  static_cast<unsigned long long>(milliseconds & 0xffffU),
                  static_cast<unsigned long long>(version | (high & 0x0fffU)),
                  static_cast<unsigned long long>(variant | ((high >> 16U) & 0x3fffU)),
                  static_cast<unsigned long long>(low & 0xffffffffffffU));
    return text.data();
}

std::string makeIncarnation(const std::string &name, common::random_source &random)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random.next()));
    return name + '.' + text.data();
}

} // namespace masticlever::masticleverd
