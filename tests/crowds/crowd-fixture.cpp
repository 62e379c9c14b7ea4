#include "crowd-fixture.h"

#include "site-configuration.h"
#include "watched-run.h"

#include <catch2/catch.hpp>

#include <QElapsedTimer>

#include <csignal>
#include <cstdio>
#include <utility>

namespace masticlever::crowds
{

namespace
{

constexpr int answerTimeoutMs = 30000;

void replaceAll(std::string &text, const std::string &before, const std::string &after)
{
    for (std::size_t at = text.find(before); at != std::string::npos; at = text.find(before, at + after.size())) {
        text.replace(at, before.size(), after);
    }
}

std::string configuration(int version, const crowd_options &options)
{
    std::string text = site::demoConfiguration();
    replaceAll(text, "\"version\":1", "\"version\":" + std::to_string(version));
    replaceAll(text, "\"max_body_bytes\":65536", "\"max_body_bytes\":" + std::to_string(options.bodyLimit));
    replaceAll(text, "\"max_conns\":64", "\"max_conns\":" + std::to_string(options.endpointConnections));
    replaceAll(text, "\"slots\":1,", "\"slots\":" + std::to_string(options.parallelCalls) + ",");
    replaceAll(text, "\"batch\":4", "\"batch\":" + std::to_string(options.batchSize));
    return text;
}

} // namespace

crowd_fixture::crowd_fixture(const crowd_options &options)
    : m_storeAddress(m_store.start()),
      m_fleet(QCoreApplication::applicationDirPath() + QStringLiteral("/masticleverd"), 1, m_storeAddress,
              "memory_mb=" + std::to_string(memoryMegabytes) + "\n", options.descriptorLimit),
      m_descriptorBound(options.descriptorLimit / 8 * 7), // the rest is for endpoints and other instances
      m_usage(m_fleet.processId(0))
{
    changeConfiguration(options);
    addEndpoint("desk-1", site::site_endpoint::kind::plain, "desk");
    addEndpoint("model-1", site::site_endpoint::kind::model, "model");
    for (std::size_t i = 1; i <= options.stageEndpoints; ++i) {
        addEndpoint("encode-" + std::to_string(i), site::site_endpoint::kind::stage, "encode");
        addEndpoint("rank-" + std::to_string(i), site::site_endpoint::kind::stage, "rank");
    }
    REQUIRE(isServed());
}

void crowd_fixture::addEndpoint(const std::string &id, site::site_endpoint::kind kind, const std::string &service)
{
    m_endpoints.push_back(std::make_unique<site::site_endpoint>(id, kind, service, "west"));
    m_endpoints.back()->start();
    m_store.put("keyed.servers", id, m_endpoints.back()->registration());
}

void crowd_fixture::changeConfiguration(const crowd_options &options)
{
    m_store.put("keyed.op", "config", configuration(++m_version, options));
}

void crowd_fixture::failPieces(const std::string &service)
{
    for (const auto &endpoint : m_endpoints) {
        if (endpoint->id().starts_with(service)) {
            endpoint->behaviour.kind = site::endpoint_behaviour::fault::failed_pieces;
        }
    }
}

site::site_caller &crowd_fixture::addCaller()
{
    m_callers.push_back(std::make_unique<site::site_caller>(m_fleet.frontAddressOf(0)));
    return *m_callers.back();
}

void crowd_fixture::connect(std::size_t count, port target, transmission sent)
{
    m_crowd.add(count, addressOf(target), std::move(sent));
}

void crowd_fixture::run(int milliseconds)
{
    runWatched(m_crowd, m_usage, milliseconds);
}

bool crowd_fixture::runUntil(const std::function<bool()> &condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < answerTimeoutMs) {
        run(20);
    }
    return condition();
}

void crowd_fixture::checkProcess()
{
    for (const std::string &crash : m_fleet.crashes()) {
        FAIL_CHECK(crash);
    }
    REQUIRE(m_fleet.isRunning(0));
    CHECK(isServed());
    std::printf("resident %zu, with unread bytes %zu, descriptors %zu\n", m_usage.peakResident(), m_usage.peakHeld(),
                m_usage.peakDescriptors());
    CHECK(m_usage.peakResident() < memoryBound);
    CHECK(m_usage.peakHeld() < memoryBound);
    CHECK(m_usage.peakDescriptors() < m_descriptorBound);
    CHECK(m_fleet.crashes().empty());
}

bool crowd_fixture::stopsByItself()
{
    m_fleet.signal(0, SIGTERM);
    const bool hasEnded = runUntil([this] { return !m_fleet.isRunning(0); });
    CHECK(m_usage.peakHeld() < memoryBound);
    return hasEnded;
}

/// Whether one of a well-behaved caller's requests is answered, each of which is one ordinary request.
bool crowd_fixture::isServed()
{
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < answerTimeoutMs && m_fleet.isRunning(0)) {
        site::site_caller caller(m_fleet.frontAddressOf(0));
        caller.send("POST /safe/ HTTP/1.1\r\nRequest-Id: ordinary\r\n" + requestFields + "Content-Length: 2\r\n\r\nhi");
        while (timer.elapsed() < answerTimeoutMs && caller.completeAnswers == 0 && !caller.isClosed) {
            run(5);
        }
        if (caller.completeAnswers > 0 && caller.heads[0].status == 200) {
            return true;
        }
        run(100);
    }
    return false;
}

} // namespace masticlever::crowds
