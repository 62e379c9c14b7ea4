#include <masticlever/runs/learned-planner.h>
#include <masticlever/runs/run-table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>

using namespace masticlever;
using namespace masticlever::runs;
using namespace std::chrono_literals;

namespace
{

const common::run_key key{"hawick", "01a0c3b1-3c00-7000-8000-000000000001"};

class counting_random : public common::random_source
{
public:
    std::uint64_t next() override { return m_next++; }

private:
    std::uint64_t m_next = 1;
};

configuration::snapshot_ptr makeConfiguration()
{
    auto made = std::make_shared<configuration::snapshot>();
    for (const char *name : {"desk-1", "desk-2"}) {
        made->endpoints[name] = {name, 1, {.pool = "desk", .address = std::string("10.0.0.1:") + name[5]}};
    }
    for (const char *name : {"model-1", "model-2"}) {
        made->endpoints[name] = {name, 1, {.pool = "model", .address = std::string("10.0.0.2:") + name[6]}};
    }
    made->pipelines["order"].spec.stages
        = {{.name = "place", .pool = "desk", .repeatable = false, .statusPath = "/v1/status"}};
    made->pipelines["chat"].spec.stages = {{.name = "generate", .pool = "model", .streamed = true}};
    return made;
}

/// One instance with a log in memory, on a virtual clock.
struct instance {
    instance()
    {
        router.update(*configuration, at.now);
        exchangeLog();
        pass(5s);
        exchangeLog();
    }

    void pass(common::duration time)
    {
        const auto end = at.now + time;
        while (at.now < end) {
            // The ledger expects to be ticked regularly.
            const common::duration step = std::min<common::duration>(end - at.now, 200ms);
            at.now += step;
            at.wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
            ledger.onTimer(at.now);
            exchangeLog();
            table.onTimer(at);
        }
    }

    void exchangeLog()
    {
        for (auto &append : ledger.takeAppends(at.now)) {
            log.push_back({log.size() + 1, at.wall, append.payload});
            ledger.onAppendEnded(append.id, log.size(), at.now);
        }
        platform::log_batch batch{1, log.size() + 1, {}};
        std::copy(log.begin() + static_cast<std::ptrdiff_t>(ledger.nextOffset() - 1), log.end(),
                  std::back_inserter(batch.records));
        ledger.onRecords(batch, at.now, at.wall);
        table.onLedgerEvents(ledger.takeEvents(), configuration, at);
    }

    run_id submit(const std::string &pipeline, const std::string &body = "{}", bool wantsStream = false)
    {
        run_request request{.key = key, .pipelineName = pipeline, .body = body, .bodyDigest = body};
        request.wantsStream = wantsStream;
        request.deadline = at.now + 4s;
        return table.submit(request, configuration, configuration->pipelines.at(pipeline).spec, {}, at);
    }

    /// The actions of type Action since the last call, all others are kept.
    template <typename Action> std::vector<Action> take()
    {
        for (table_action &one : table.takeActions()) {
            pending.push_back(std::move(one.what));
        }
        std::vector<Action> found;
        std::erase_if(pending, [&](const action &one) {
            const auto *wanted = std::get_if<Action>(&one);
            if (wanted != nullptr) {
                found.push_back(*wanted);
            }
            return wanted != nullptr;
        });
        return found;
    }

    common::moment at{common::instant(100s), common::wall_time(1790000000000ms)};
    configuration::snapshot_ptr configuration = makeConfiguration();
    std::vector<platform::log_record> log;
    routing::router router{{}};
    ledger::run_ledger ledger{{.incarnation = "a"}};
    learned_planner planner;
    common::call_id_source callIds{"a"};
    counting_random random;
    admission::controller admission{{}};
    run_table table{{router, ledger, planner, callIds, random, "a"}, admission};
    std::vector<action> pending;
};

} // namespace

TEST_CASE("an order is sent once and recorded")
{
    instance here;
    here.submit("order");
    CHECK(here.take<send_call>().empty());
    here.exchangeLog();
    const auto sent = here.take<send_call>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].idempotencyKey == key.team + '/' + key.key + "/place");
    CHECK(sent[0].fencing == 1);

    SECTION("its answer goes out before the record of it")
    {
        here.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, here.at);
        const auto replies = here.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::answered);
        CHECK(here.log.size() == 1);
        here.exchangeLog();
        CHECK(here.log.size() == 2);

        SECTION("a repeat gets the record, another body a conflict, and nothing is sent")
        {
            here.submit("order");
            here.submit("order", "{\"other\":1}");
            const auto repeated = here.take<reply>();
            REQUIRE(repeated.size() == 2);
            CHECK(repeated[0].replayed);
            CHECK(repeated[0].result == "{\"n\":7}");
            CHECK(repeated[1].outcome == disposition::conflict);
            CHECK(here.take<send_call>().empty());
        }
        SECTION("a second answer belongs to nobody")
        {
            CHECK_FALSE(here.table.onCallEnded(sent[0].id, {call_status::answered, "{}"}, here.at));
        }
    }

    SECTION("a submission of the same key joins it")
    {
        here.submit("order");
        here.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, here.at);
        here.exchangeLog();
        CHECK(here.take<reply>().size() == 2);
        CHECK(here.take<send_call>().empty());
    }

    SECTION("an endpoint that refuses makes way for the other one, under the same claim")
    {
        here.table.onCallEnded(sent[0].id, {call_status::refused, {}}, here.at);
        const auto again = here.take<send_call>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].endpoint != sent[0].endpoint);
        CHECK(again[0].fencing == sent[0].fencing);

        SECTION("and when all refuse, the claim is voided before the caller hears that it was not run")
        {
            here.table.onCallEnded(again[0].id, {call_status::refused, {}}, here.at);
            CHECK(here.take<reply>().empty());
            here.exchangeLog();
            const auto replies = here.take<reply>();
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == disposition::not_run);
            CHECK(replies[0].retryAfter > 0s);
        }
    }

    SECTION("a lost answer is looked for at the endpoints, and the call is not sent again")
    {
        here.table.onCallEnded(sent[0].id, {call_status::failed, {}}, here.at);
        auto queries = here.take<query_status>();
        REQUIRE(queries.size() == 1);
        CHECK(queries[0].endpoint == sent[0].endpoint);

        SECTION("where it is found")
        {
            here.table.onCallEnded(queries[0].id, {call_status::answered, R"({"state":"done","result":{"n":7}})"},
                                   here.at);
            const auto replies = here.take<reply>();
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].result == "{\"n\":7}");
        }
        SECTION("where it is not known, which proves nothing")
        {
            std::vector<reply> replies;
            for (int i = 0; i < 20 && replies.empty(); ++i) {
                for (const query_status &query : queries) {
                    here.table.onCallEnded(query.id, {call_status::answered, R"({"state":"not_known"})"}, here.at);
                }
                here.pass(200ms);
                queries = here.take<query_status>();
                replies = here.take<reply>();
            }
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == disposition::unknown);
            here.exchangeLog();
            CHECK(here.ledger.unknownRuns().size() == 1);

            SECTION("until a later query finds it")
            {
                here.table.retryUnknownRuns(here.configuration, here.at);
                const auto later = here.take<query_status>();
                REQUIRE(later.size() == 1);
                here.table.onCallEnded(later[0].id, {call_status::answered, R"({"state":"done","result":{"n":7}})"},
                                       here.at);
                here.exchangeLog();
                here.exchangeLog();
                CHECK(here.ledger.find(key, here.at.wall).standing == ledger::run_standing::finished);
            }
            SECTION("until an operator settles it, also while a later query is under way")
            {
                const bool isQueryUnderWay = GENERATE(false, true);
                if (isQueryUnderWay) {
                    here.table.retryUnknownRuns(here.configuration, here.at);
                    CHECK(here.take<query_status>().size() == 1);
                }
                here.ledger.settle(key, 0, R"({"n":7})", here.at.now);
                here.exchangeLog();
                here.exchangeLog();
                CHECK(here.ledger.find(key, here.at.wall).standing == ledger::run_standing::finished);
                CHECK(here.table.size() == 0);
                CHECK(here.take<cancel_call>().size() == (isQueryUnderWay ? 1 : 0));
            }
        }
        CHECK(here.take<send_call>().empty());
    }

    SECTION("at its deadline the caller hears `unknown` at once, and a late answer is recorded")
    {
        here.pass(4s);
        const auto replies = here.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::unknown);
        CHECK(here.take<cancel_call>().empty());
        here.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, here.at);
        here.exchangeLog();
        CHECK(here.ledger.find(key, here.at.wall).standing == ledger::run_standing::finished);
        CHECK(here.table.size() == 0);
    }
}

TEST_CASE("a stream breaks and goes on at another endpoint")
{
    instance here;
    const run_id id = here.submit("chat", "{}", true);
    const auto first = here.take<send_call>();
    REQUIRE(first.size() == 1);
    here.table.onText(first[0].id, "one two ", here.at);
    CHECK(here.take<stream_text>().size() == 1);

    SECTION("with the same text: the caller gets only what it does not have")
    {
        here.table.onCallEnded(first[0].id, {call_status::invalid, {}}, here.at);
        const auto second = here.take<send_call>();
        REQUIRE(second.size() == 1);
        CHECK(second[0].endpoint != first[0].endpoint);
        here.table.onText(second[0].id, "one ", here.at);
        CHECK(here.take<stream_text>().empty());
        here.table.onText(second[0].id, "two three", here.at);
        const auto texts = here.take<stream_text>();
        REQUIRE(texts.size() == 1);
        CHECK(texts[0].text == "three");
        here.table.onCallEnded(second[0].id, {call_status::answered, {}}, here.at);
        const auto replies = here.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].result == "one two three");
    }

    SECTION("with another text, or a shorter one: the answer fails")
    {
        here.table.onCallEnded(first[0].id, {call_status::invalid, {}}, here.at);
        const auto second = here.take<send_call>();
        REQUIRE(second.size() == 1);
        const std::string text = GENERATE("one ten ", "one ");
        here.table.onText(second[0].id, text, here.at);
        here.table.onCallEnded(second[0].id, {call_status::answered, {}}, here.at);
        const auto replies = here.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::failed);
        CHECK(here.take<stream_text>().empty());
    }

    SECTION("when the caller hangs up the call is cancelled")
    {
        here.table.onCallerGone(id, here.at);
        CHECK(here.take<cancel_call>().size() == 1);
        CHECK(here.table.size() == 0);
    }
}
