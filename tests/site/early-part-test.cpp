#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

constexpr std::size_t uploadBytes = std::size_t{8} << 20; // more than the kernel takes, so that writes are pending

class upload_site : public site_fixture
{
public:
    upload_site() : site_fixture(1)
    {
        maximumBodyBytes = 2 * uploadBytes;
        configure(2);
    }

    void addEndpoints(kind what, const std::string &service, const std::string &probe)
    {
        addEndpoint("e1", what, service);
        addEndpoint("e2", what, service);
        REQUIRE(waitReady(0));
        REQUIRE(waitFor([&] {
            sendRequest(0, request("POST", probe, "probe"));
            return !endpoint(0).runs.empty() && !endpoint(1).runs.empty();
        }));
        endpoint(0).runs.clear();
        endpoint(1).runs.clear();
    }

    void injectFault(std::size_t index, bool isReset)
    {
        endpoint(index).behaviour.kind = fault::early_part;
        endpoint(index).behaviour.isEarlyPartReset = isReset;
    }

    int totalRuns(const std::string &id) { return endpoint(0).runs[id] + endpoint(1).runs[id]; }
};

} // namespace

// Guards against a part of an answer that a caller takes for the whole: the endpoint answered while it was still being
// sent the request, and then reset or closed the connection.
TEST_CASE("A part of an answer to an unfinished upload is not passed on as complete", "[site][odd-input]")
{
    upload_site site;
    const bool isReset = GENERATE(true, false);
    const std::string upload(uploadBytes, 'x');

    SECTION("a request that is not repeatable is answered with 502")
    {
        site.addEndpoints(kind::plain, "desk", "/safe/");
        site.injectFault(0, isReset);
        site.injectFault(1, isReset);
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", "r1", upload));
        CHECK(answer.status == 502);
        CHECK(site.totalRuns("r1") == 1);
    }
    SECTION("a repeatable request is tried at another endpoint")
    {
        site.addEndpoints(kind::plain, "desk", "/safe/");
        site.injectFault(0, isReset);
        int repeated = 0;
        for (int i = 0; i < 4; ++i) {
            const std::string id = "r" + std::to_string(i);
            const auto answer = site.sendRequest(0, site.request("POST", "/safe/", id, upload));
            CHECK(answer.status == 200);
            CHECK(answer.body == "answer to " + id);
            repeated += site.totalRuns(id) == 2 ? 1 : 0;
        }
        CHECK(repeated > 0);
    }
    SECTION("a stream that has begun is reset")
    {
        site.addEndpoints(kind::model, "model", "/note/");
        site.injectFault(0, isReset);
        site.injectFault(1, isReset);
        const auto answer = site.sendRequest(0, site.request("POST", "/note/", "r1", upload));
        CHECK_FALSE((answer.status == 200 && answer.isComplete));
    }
}
