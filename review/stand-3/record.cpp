#include "record.h"

#include <iomanip>

namespace review
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

record::record(const std::string &file) : m_startedAt(std::chrono::steady_clock::now()), m_file(file, std::ios::trunc)
{ }

void record::add(std::string_view line)
{
    m_file << std::setw(6) << elapsed().count() << " ms  " << line << std::endl;
}

milliseconds record::elapsed() const
{
    return duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startedAt);
}

} // namespace review
