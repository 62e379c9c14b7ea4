#include "record.h"

#include <cstdlib>
#include <iomanip>
#include <string_view>

namespace masticlever::review
{

trial_record::trial_record(const std::string &file) : m_file(file), m_begin(std::chrono::steady_clock::now()) { }

void trial_record::add(const std::string &line)
{
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - m_begin;
    m_file << std::fixed << std::setprecision(3) << passed.count() << " " << line << "\n" << std::flush;
}

void trial_record::addViolation(const std::string &line)
{
    ++m_violations;
    add("BROKEN: " + line);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace masticlever::review
