#include "generation.h"
#include "scenario.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <random>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

struct placed_order {
    caller_options caller;
    QJsonObject body;
    std::vector<http_call_ptr> submissions;
};

/// Places orders, repeats some of them, and disturbs the fleet in an order given by the seed.
class disturbed_orders
{
public:
    explicit disturbed_orders(fleet &setup, unsigned seed) : m_setup(setup), m_random(seed) { }

    void step()
    {
        if (draw(4) == 0) {
            disturb();
        }
        submit(m_orders.empty() || draw(3) > 0 ? place() : m_orders[draw(m_orders.size())]);
        letPass(std::chrono::milliseconds(60));
    }

    /// Ends all disturbances, and waits for all answers.
    void settle()
    {
        m_setup.knobs({{u"log_outage"_s, false}, {u"lose_answers"_s, 0}, {u"append_delay_ms"_s, 0}, {u"cut"_s, {}}});
        m_setup.fault(u"order-1"_s, QString(), 0);
        for (std::size_t i = 0; i < m_setup.size(); ++i) {
            m_setup.daemon(i).resume();
            if (!m_setup.daemon(i).isRunning()) {
                m_setup.restartDaemon(i);
            }
        }
        REQUIRE(m_setup.waitUntilReady());
        for (const placed_order &order : m_orders) {
            REQUIRE(waitForAll(order.submissions, std::chrono::milliseconds(40'000)));
        }
    }

    const std::vector<placed_order> &orders() const { return m_orders; }

private:
    std::size_t draw(std::size_t below) { return m_random() % below; }

    placed_order &place()
    {
        m_orders.push_back({{.deadlineMs = 4'000}, request(u"order %1"_s.arg(m_orders.size())), {}});
        return m_orders.back();
    }

    void submit(placed_order &order)
    {
        const std::size_t index = draw(m_setup.size());
        if (m_setup.daemon(index).isRunning()) {
            order.submissions.push_back(m_setup.send(index, u"booking"_s, order.body, order.caller));
        }
    }

    void disturb()
    {
        const std::size_t index = draw(m_setup.size());
        program &target = m_setup.daemon(index);
        switch (draw(7)) {
        case 0:
            target.kill();
            break;
        case 1:
            if (!target.isRunning()) {
                m_setup.restartDaemon(index);
            }
            break;
        case 2:
            target.stop();
            break;
        case 3:
            target.resume();
            break;
        case 4:
            m_setup.knobs({{u"log_outage"_s, draw(3) == 0}, {u"lose_answers"_s, static_cast<int>(draw(3))}});
            break;
        case 5:
            m_setup.knobs({{u"append_delay_ms"_s, static_cast<int>(draw(3) * 200)}});
            break;
        default:
            const QString modes[] = {u"late"_s, u"close_after_read"_s, u"wrong_id"_s, u"cut"_s, u"refuse"_s};
            m_setup.fault(u"order-1"_s, modes[draw(std::size(modes))], 1, 700);
        }
    }

    fleet &m_setup;
    std::mt19937 m_random;
    std::vector<placed_order> m_orders;
};

} // namespace

TEST_CASE("everything fails at any moment, together", "[chaos]")
{
    constexpr int steps = 120;
    const unsigned seed = GENERATE(1U, 2U);
    const auto setup = bookingFleet().start();
    disturbed_orders load(*setup, seed);
    for (int i = 0; i < steps; ++i) {
        load.step();
    }
    load.settle();

    int answered = 0;
    for (const placed_order &order : load.orders()) {
        const int sent = setup->callsOf(order.caller.key);
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
        const bool isRefused = !order.submissions.empty() && problemOf(*order.submissions.back()) == u"not-run";
        if (isRefused && order.submissions.size() == 1) {
            CHECK(sent == 0);
        }
    }
    CHECK(answered > 0);
}
