#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace masticlever::site;
using kind = site_endpoint::kind;

namespace
{

constexpr std::size_t daemons = 3;

class shared_load_site : public site_fixture
{
public:
    shared_load_site() : site_fixture(daemons)
    {
        addEndpoint("m1", kind::model, "model");
        addEndpoint("m2", kind::model, "model");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
        }
        for (std::size_t e = 0; e < endpointCount(); ++e) {
            endpoint(e).behaviour.events = 1000; // streams that outlast the test
            endpoint(e).behaviour.eventInterval = std::chrono::milliseconds(100);
        }
    }

    void beginStream(std::size_t daemon)
    {
        m_callers.push_back(std::make_unique<site_caller>(frontAddressOf(daemon)));
        m_callers.back()->send(request("POST", "/note/", "s" + std::to_string(m_callers.size()), "prompt"));
    }

    bool seesOthers(std::size_t daemon, double requests)
    {
        return waitFor(
            [&] { return metricOf(daemon, "masticlever_frontend_load_others_in_flight").value_or(-1) == requests; });
    }

    /// Index of the daemon whose reports others send, or \c daemons if there is none.
    std::size_t reader()
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            if (isRunning(i) && metricOf(i, "masticlever_frontend_load_reporters").value_or(0) > 1) {
                return i;
            }
        }
        return daemons;
    }

    bool isRunning(std::size_t daemon) const { return daemon != m_killed; }

    void kill(std::size_t daemon)
    {
        m_killed = daemon;
        killDaemon(daemon);
    }

private:
    std::vector<std::unique_ptr<site_caller>> m_callers;
    std::size_t m_killed = daemons;
};

} // namespace

// Guards against load that stays unknown, or that is counted twice, after the instance that sums it up has ended.
TEST_CASE("Instances know each other's requests, also after the reader is lost", "[site][shared-load]")
{
    shared_load_site site;
    for (std::size_t i = 0; i < daemons; ++i) {
        for (std::size_t stream = 0; stream <= i; ++stream) {
            site.beginStream(i); // one, two and three
        }
    }
    CHECK(site.seesOthers(0, 5));
    CHECK(site.seesOthers(1, 4));
    CHECK(site.seesOthers(2, 3));

    std::size_t lost = daemons;
    REQUIRE(waitFor([&] { return (lost = site.reader()) < daemons; }));
    site.kill(lost);
    for (std::size_t i = 0; i < daemons; ++i) {
        if (site.isRunning(i)) {
            const std::size_t other = daemons - lost - i; // the indices add up to the number of daemons
            CHECK(site.seesOthers(i, static_cast<double>(other + 1)));
        }
    }
}
