#pragma once

#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>

/// \file
/// What a trial saw, written to record.txt in the folder of its case, and its verdict.

namespace masticlever::review
{

class trial_record
{
public:
    explicit trial_record(const std::string &file);

    /// Writes one line with the time since the start of the trial.
    void add(const std::string &line);
    /// Notes that the rule was broken.
    void addViolation(const std::string &line);
    std::size_t violations() const { return m_violations; }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin;
    std::size_t m_violations = 0;
};

/// Exit codes of a trial.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

/// Whether the trial plays its disruption: always, unless TROUBLE=0 is set.
bool hasTrouble();

} // namespace masticlever::review
