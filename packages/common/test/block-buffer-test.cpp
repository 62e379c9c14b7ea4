#include <masticlever/common/block-buffer.h>

#include <catch2/catch.hpp>

using masticlever::common::block_buffer;

TEST_CASE("A buffer of blocks keeps the bytes that arrive in pieces")
{
    block_buffer buffer;
    const auto content = [&] {
        std::string text;
        for (const std::string_view view : buffer.views()) {
            text += view;
        }
        return text;
    };
    CHECK(buffer.empty());
    CHECK(buffer.capacity() == 0);

    SECTION("in order, and with little more memory than they need")
    {
        std::string sent;
        for (std::size_t i = 0; i < 400; ++i) {
            const std::string piece(i * 37 % 5000, static_cast<char>('a' + i % 26));
            sent += piece;
            buffer.append(piece);
        }
        CHECK(buffer.size() == sent.size());
        CHECK(content() == sent);
        CHECK(buffer.capacity() < sent.size() + 140000);
    }
    SECTION("in one block if their number is known")
    {
        buffer.reserve(1000000);
        buffer.append(std::string(400000, 'x'));
        buffer.append(std::string(600000, 'y'));
        CHECK(buffer.views().size() == 1);
        CHECK(buffer.capacity() < 1010000);
    }
    SECTION("until they are cleared")
    {
        buffer.append("some");
        buffer.clear();
        CHECK(buffer.empty());
        CHECK(buffer.capacity() == 0);
        CHECK(content().empty());
    }
}
