#pragma once

#include <chrono>
#include <fstream>
#include <string>
#include <string_view>

/// \file
/// Log of what was sent, answered and run, with the time since the start in milliseconds.

namespace review
{

class record
{
public:
    explicit record(const std::string &file);

    void add(std::string_view line);
    std::chrono::milliseconds elapsed() const;

private:
    std::chrono::steady_clock::time_point m_startedAt;
    std::ofstream m_file;
};

} // namespace review
