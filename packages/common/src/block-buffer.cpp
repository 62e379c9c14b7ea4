#include <masticlever/common/block-buffer.h>

#include <algorithm>
#include <iterator>

namespace masticlever::common
{

namespace
{

constexpr std::size_t smallestBlock = 4096;
constexpr std::size_t largestBlock = 131072;

} // namespace

void block_buffer::reserve(std::size_t bytes)
{
    if (m_blocks.empty() && bytes > 0) {
        addBlock(bytes);
    }
}

void block_buffer::addBlock(std::size_t bytes)
{
    m_blocks.emplace_back().reserve(bytes);
    m_capacity += m_blocks.back().capacity();
}

void block_buffer::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == m_blocks.back().capacity()) {
            addBlock(std::clamp(m_capacity, smallestBlock, largestBlock));
        }
        std::string &last = m_blocks.back();
        const std::size_t fitting = std::min(bytes.size(), last.capacity() - last.size());
        last.append(bytes.substr(0, fitting));
        bytes.remove_prefix(fitting);
    }
}

void block_buffer::clear()
{
    m_blocks = {};
    m_size = 0;
    m_capacity = 0;
}

std::vector<std::string_view> block_buffer::views() const
{
    std::vector<std::string_view> views;
    std::ranges::copy_if(m_blocks, std::back_inserter(views), [](std::string_view block) { return !block.empty(); });
    return views;
}

} // namespace masticlever::common
