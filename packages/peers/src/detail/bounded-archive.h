#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Serialization of strings and lists with cereal, each with a limit that is checked before memory is allocated.

namespace masticlever::peers::detail
{

/// Stream buffer that reads from a view without copying it.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view view)
    {
        char *begin = const_cast<char *>(view.data()); // never written to: there is no put area
        setg(begin, begin, begin + view.size());
    }

    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

inline void requireWithin(std::size_t size, std::size_t maximum)
{
    if (size > maximum) {
        throw cereal::Exception("size over its limit");
    }
}

/// Writes \p size, or reads a size, with type \p Length. Returns the size written or read. Throws cereal::Exception
/// above \p maximum.
template <typename Length, typename Archive>
std::size_t transferSize(Archive &archive, std::size_t size, std::size_t maximum)
{
    requireWithin(size, maximum);
    auto length = static_cast<Length>(size);
    archive(length);
    requireWithin(length, maximum);
    return length;
}

/// Transfers a flag as a byte that must be 0 or 1; any other value in a bool would be undefined behaviour.
template <typename Archive> void transferFlag(Archive &archive, bool &flag)
{
    flag = transferSize<std::uint8_t>(archive, flag ? 1 : 0, 1) == 1;
}

/// Transfers a value of an enumeration whose values run from 0 to \p last.
template <typename Archive, typename Choice> void transferChoice(Archive &archive, Choice &choice, Choice last)
{
    choice = static_cast<Choice>(
        transferSize<std::uint8_t>(archive, static_cast<std::size_t>(choice), static_cast<std::size_t>(last)));
}

template <typename Length = std::uint16_t, typename Archive>
void transferText(Archive &archive, std::string &text, std::size_t maximum)
{
    const std::size_t size = transferSize<Length>(archive, text.size(), maximum);
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/// Grows the list item by item when loading, so that a forged length does not allocate memory.
template <typename Length = std::uint8_t, typename Archive, typename Item, typename Function>
void transferList(Archive &archive, std::vector<Item> &items, std::size_t maximum, Function transferItem)
{
    const std::size_t size = transferSize<Length>(archive, items.size(), maximum);
    if constexpr (Archive::is_loading::value) {
        items.clear();
        for (std::size_t i = 0; i < size; ++i) {
            transferItem(archive, items.emplace_back());
        }
    } else {
        for (Item &item : items) {
            transferItem(archive, item);
        }
    }
}

} // namespace masticlever::peers::detail
