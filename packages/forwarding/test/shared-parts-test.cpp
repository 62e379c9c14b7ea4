#include <masticlever/forwarding/shared-parts.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::forwarding;

namespace
{

protocol::request_attributes requestWith(const std::vector<std::string> &parts, const std::string &model = "m")
{
    protocol::request_attributes request;
    request.model = model;
    for (const std::string &part : parts) {
        request.prompt.push_back({part, 10});
    }
    return request;
}

} // namespace

TEST_CASE("The shared parts of a prompt are all but the last")
{
    CHECK(sharedParts(requestWith({})).empty());
    CHECK(sharedParts(requestWith({"own"})).empty());
    const auto parts = sharedParts(requestWith({"system", "document", "own"}));
    REQUIRE(parts.size() == 2);
    CHECK(sharedParts(requestWith({"system", "other"})).front() == parts.front());
    CHECK(sharedParts(requestWith({"system", "system", "own"})).size() == 1);

    SECTION("a part is another one for another model")
    {
        CHECK(sharedParts(requestWith({"system", "own"}, "n")).front() != parts.front());
    }
    SECTION("a prompt with very many parts is cut")
    {
        std::vector<std::string> many(1000);
        for (std::size_t i = 0; i < many.size(); ++i) {
            many[i] = std::to_string(i);
        }
        CHECK(sharedParts(requestWith(many)).size() == 64);
    }
    SECTION("they are logged as fixed-width numbers")
    {
        CHECK(formatParts(std::vector<std::uint64_t>{1, 0xab}) == "0000000000000001,00000000000000ab");
    }
}
