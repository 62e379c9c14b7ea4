#include "generation.h"
#include "scenario.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

struct submitted_order {
    caller_options caller;
    QJsonObject body;
    std::vector<http_call_ptr> submissions;
};

/// Submits orders, repeats some of them and injects faults, in a sequence determined by the seed.
class chaos_load
{
public:
    explicit chaos_load(fleet &setup, unsigned seed) : m_fleet(setup), m_random(seed) { }

    void step()
    {
        if (randomBelow(4) == 0) {
            injectRandomFault();
        }
        submit(m_orders.empty() || randomBelow(3) > 0 ? createOrder() : m_orders[randomBelow(m_orders.size())]);
        runEventLoopFor(std::chrono::milliseconds(60));
    }

    /// Clears all faults, restarts daemons that have ended, and waits for all answers.
    void recoverAndWait()
    {
        m_fleet.setPlatformFaults(
            {{u"log_outage"_s, false}, {u"lose_answers"_s, 0}, {u"append_delay_ms"_s, 0}, {u"cut"_s, {}}});
        m_fleet.injectFault(u"order-1"_s, QString(), 0);
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.daemon(i).resume();
            if (!m_fleet.daemon(i).isRunning()) {
                m_fleet.restartDaemon(i);
            }
        }
        REQUIRE(m_fleet.waitUntilReady());
        for (const submitted_order &order : m_orders) {
            REQUIRE(waitForAll(order.submissions, std::chrono::milliseconds(40'000)));
        }
    }

    const std::vector<submitted_order> &orders() const { return m_orders; }

private:
    std::size_t randomBelow(std::size_t limit) { return m_random() % limit; }

    submitted_order &createOrder()
    {
        m_orders.push_back({{.deadlineMs = 4'000}, request(u"order %1"_s.arg(m_orders.size())), {}});
        return m_orders.back();
    }

    void submit(submitted_order &order)
    {
        const std::size_t index = randomBelow(m_fleet.size());
        if (m_fleet.daemon(index).isRunning()) {
            order.submissions.push_back(m_fleet.send(index, u"booking"_s, order.body, order.caller));
        }
    }

    void injectRandomFault()
    {
        const std::size_t index = randomBelow(m_fleet.size());
        program &target = m_fleet.daemon(index);
        switch (randomBelow(7)) {
        case 0:
            target.kill();
            break;
        case 1:
            if (!target.isRunning()) {
                m_fleet.restartDaemon(index);
            }
            break;
        case 2:
            target.stop();
            break;
        case 3:
            target.resume();
            break;
        case 4:
            m_fleet.setPlatformFaults(
                {{u"log_outage"_s, randomBelow(3) == 0}, {u"lose_answers"_s, static_cast<int>(randomBelow(3))}});
            break;
        case 5:
            m_fleet.setPlatformFaults({{u"append_delay_ms"_s, static_cast<int>(randomBelow(3) * 200)}});
            break;
        default:
            const QString modes[] = {u"late"_s, u"close_after_read"_s, u"wrong_id"_s, u"cut"_s, u"refuse"_s};
            m_fleet.injectFault(u"order-1"_s, modes[randomBelow(std::size(modes))], 1, 700);
        }
    }

    fleet &m_fleet;
    std::mt19937 m_random;
    std::vector<submitted_order> m_orders;
};

} // namespace

TEST_CASE("orders are sent at most once under random combined faults", "[chaos]")
{
    constexpr int steps = 120;
    const unsigned seed = GENERATE(1U, 2U);
    const auto setup = bookingFleet().start();
    chaos_load load(*setup, seed);
    for (int i = 0; i < steps; ++i) {
        load.step();
    }
    load.recoverAndWait();

    int answered = 0;
    for (const submitted_order &order : load.orders()) {
        const int sent = setup->countCalls(order.caller.key);
        INFO("seed " << seed << ", order " << order.caller.key.toStdString());
        CHECK(sent <= 1);
        for (const auto &call : order.submissions) {
            if (call->status() != 200) {
                continue;
            }
            ++answered;
            CHECK(sent == 1);
            const QString digest = call->json().value(u"result").toObject().value(u"prompt_digest").toString();
            CHECK(digest.toLatin1() == fakes::promptDigest(order.body));
        }
        const auto isRefused = [](const http_call_ptr &call) { return problemOf(*call) == u"not-run"; };
        if (std::all_of(order.submissions.begin(), order.submissions.end(), isRefused)) {
            CHECK(sent == 0);
        }
    }
    CHECK(answered > 0);
}
