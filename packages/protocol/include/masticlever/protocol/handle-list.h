#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Handles of stage results. Copies share one list, because every piece of a stage reads all results of the stages
/// before it.

namespace masticlever::protocol
{

class handle_list
{
public:
    handle_list() = default;
    handle_list(std::initializer_list<std::string> handles) : handle_list(std::vector<std::string>(handles)) { }
    explicit handle_list(std::vector<std::string> handles)
    {
        if (handles.empty()) {
            return;
        }
        for (const std::string &handle : handles) {
            m_bytes += handle.size();
        }
        m_handles = std::make_shared<const std::vector<std::string>>(std::move(handles));
    }

    std::span<const std::string> view() const
    {
        return m_handles ? std::span<const std::string>(*m_handles) : std::span<const std::string>();
    }
    bool empty() const { return !m_handles; }
    std::size_t size() const { return view().size(); }
    /// Length of all handles together.
    std::size_t bytes() const { return m_bytes; }
    /// Whether both share their memory.
    bool sharesWith(const handle_list &other) const { return m_handles == other.m_handles; }

    bool operator==(const handle_list &other) const
    {
        return sharesWith(other) || (m_handles && other.m_handles && *m_handles == *other.m_handles);
    }

private:
    std::shared_ptr<const std::vector<std::string>> m_handles; ///< null: none
    std::size_t m_bytes = 0;
};

} // namespace masticlever::protocol
