#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Bytes that arrive in pieces and whose number need not be known. Unlike a growing string it never moves them, which
/// would need up to three times their size, and what it allocates exceeds them by one block at most.

namespace masticlever::common
{

class block_buffer
{
public:
    /// Allocates one block for \p bytes, if the buffer is empty.
    void reserve(std::size_t bytes);
    void append(std::string_view bytes);
    void clear();

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    /// Allocated bytes, which are at least size().
    std::size_t capacity() const { return m_capacity; }
    /// The content, in order; valid until the next change.
    std::vector<std::string_view> views() const;

private:
    void addBlock(std::size_t bytes);

    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};

} // namespace masticlever::common
