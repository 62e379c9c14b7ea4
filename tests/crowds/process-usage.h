#pragma once

#include <QtGlobal>

#include <cstddef>

#include <set>
#include <string>

/// \file
/// Observes what a process holds of its machine, as the platform accounts for it: its resident memory, and the bytes
/// that the kernel has received for its connections and that it has not read.

namespace masticlever::crowds
{

class process_usage
{
public:
    explicit process_usage(qint64 processId);

    /// Reads the current figures. Does nothing when the process has ended.
    void sample();

    /// Largest resident size in bytes since the start of the process, also between samples.
    std::size_t peakResident() const { return m_peakResident; }
    /// Largest sum of resident size and unread bytes in one sample.
    std::size_t peakHeld() const { return m_peakHeld; }
    /// Largest number of open descriptors in one sample.
    std::size_t peakDescriptors() const { return m_peakDescriptors; }

private:
    std::size_t memoryLine(const std::string &name) const;
    std::set<std::string> socketInodes();
    std::size_t unreadBytes();

    std::string m_folder;
    std::size_t m_peakResident = 0;
    std::size_t m_peakHeld = 0;
    std::size_t m_peakDescriptors = 0;
};

} // namespace masticlever::crowds
