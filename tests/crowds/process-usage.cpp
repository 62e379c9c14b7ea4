#include "process-usage.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <vector>

namespace masticlever::crowds
{

process_usage::process_usage(qint64 processId) : m_folder("/proc/" + std::to_string(processId)) { }

void process_usage::sample()
{
    m_peakResident = std::max(m_peakResident, memoryLine("VmHWM:"));
    m_peakHeld = std::max(m_peakHeld, memoryLine("VmRSS:") + unreadBytes());
}

std::size_t process_usage::memoryLine(const std::string &name) const
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status(m_folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) * bytesPerKilobyte;
        }
    }
    return 0;
}

std::set<std::string> process_usage::socketInodes()
{
    const std::string prefix = "socket:[";
    std::set<std::string> inodes;
    std::size_t descriptors = 0;
    std::error_code failure;
    for (std::filesystem::directory_iterator it(m_folder + "/fd", failure), end; !failure && it != end;
         it.increment(failure)) {
        ++descriptors;
        std::error_code unused; // a descriptor may be closed meanwhile
        const std::string target = std::filesystem::read_symlink(it->path(), unused).string();
        if (target.starts_with(prefix)) {
            inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    m_peakDescriptors = std::max(m_peakDescriptors, descriptors);
    return inodes;
}

/// Also counts connections that wait to be accepted, which have no inode: those to a port that the process listens on.
std::size_t process_usage::unreadBytes()
{
    const std::string established = "01";
    const std::string listening = "0A";
    struct connection {
        std::string local;
        std::size_t unread = 0;
    };
    const std::set<std::string> own = socketInodes();
    std::set<std::string> ports;
    std::vector<connection> waiting;
    std::size_t unread = 0;
    std::ifstream table(m_folder + "/net/tcp");
    std::string line;
    std::getline(table, line); // the titles
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        std::string retransmits;
        std::string user;
        std::string timeout;
        std::string inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        if (state == listening) {
            if (own.contains(inode)) {
                ports.insert(local);
            }
            continue; // the queue of a listening socket counts connections
        }
        constexpr int hexadecimal = 16;
        const std::size_t received = std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        if (own.contains(inode)) {
            unread += received;
        } else if (inode == "0" && state == established) {
            waiting.push_back({local, received});
        }
    }
    for (const connection &item : waiting) {
        unread += ports.contains(item.local) ? item.unread : 0;
    }
    return unread;
}

} // namespace masticlever::crowds
