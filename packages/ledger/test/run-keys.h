#pragma once

#include <masticlever/common/run-key.h>
#include <masticlever/common/time.h>

#include <cstdio>
#include <string>

/// \file
/// Run keys for tests.

namespace masticlever::ledger::test
{

/// Returns a key of \p team whose UUIDv7 contains the time \p created.
inline common::run_key makeRunKey(const std::string &team, unsigned number, common::wall_time created)
{
    char text[64];
    const auto ms = static_cast<unsigned long long>(created.time_since_epoch().count());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", (ms >> 16U) & 0xffffffffU, ms & 0xffffU, number);
    return {team, text};
}

} // namespace masticlever::ledger::test
