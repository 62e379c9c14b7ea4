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
    auto snapshot = std::make_shared<configuration::snapshot>();
    for (const char *name : {"desk-1", "desk-2"}) {
        snapshot->endpoints[name] = {name, 1, {.pool = "desk", .address = std::string("10.0.0.1:") + name[5]}};
    }
    for (const char *name : {"model-1", "model-2"}) {
        snapshot->endpoints[name] = {name, 1, {.pool = "model", .address = std::string("10.0.0.2:") + name[6]}};
    }
    snapshot->pipelines["order"].spec.stages
        = {{.name = "place", .pool = "desk", .repeatable = false, .statusPath = "/v1/status"}};
    snapshot->pipelines["chat"].spec.stages = {{.name = "generate", .pool = "model", .streamed = true}};
    return snapshot;
}

/// One instance with an in-memory log and a virtual clock.
struct test_instance {
    test_instance()
    {
        router.update(*configuration, at.now);
        syncLog();
        advance(5s);
        syncLog();
    }

    void advance(common::duration time)
    {
        const auto end = at.now + time;
        while (at.now < end) {
            // The ledger needs its timer called regularly.
            const common::duration step = std::min<common::duration>(end - at.now, 200ms);
            at.now += step;
            at.wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
            ledger.onTimer(at.now);
            syncLog();
            table.onTimer(at);
        }
    }

    void syncLog()
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

    /// Removes and returns the actions of type Action; others remain pending.
    template <typename Action> std::vector<Action> take()
    {
        for (table_action &item : table.takeActions()) {
            pending.push_back(std::move(item.what));
        }
        std::vector<Action> found;
        std::erase_if(pending, [&](const action &item) {
            const auto *wanted = std::get_if<Action>(&item);
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

TEST_CASE("a non-repeatable stage is sent once and recorded")
{
    test_instance local;
    local.submit("order");
    CHECK(local.take<send_call>().empty());
    local.syncLog();
    const auto sent = local.take<send_call>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].idempotencyKey == key.team + '/' + key.key + "/place");
    CHECK(sent[0].fencing == 1);

    SECTION("the reply is sent before its record is written")
    {
        local.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, local.at);
        const auto replies = local.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::answered);
        CHECK(local.log.size() == 1);
        local.syncLog();
        CHECK(local.log.size() == 2);

        SECTION("the same body gets the recorded answer, another body a conflict, and nothing is sent")
        {
            local.submit("order");
            local.submit("order", "{\"other\":1}");
            const auto repeated = local.take<reply>();
            REQUIRE(repeated.size() == 2);
            CHECK(repeated[0].replayed);
            CHECK(repeated[0].result == "{\"n\":7}");
            CHECK(repeated[1].outcome == disposition::conflict);
            CHECK(local.take<send_call>().empty());
        }
        SECTION("a second answer to the same call is discarded")
        {
            CHECK_FALSE(local.table.onCallEnded(sent[0].id, {call_status::answered, "{}"}, local.at));
        }
    }

    SECTION("another submission with the same key joins the run")
    {
        local.submit("order");
        local.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, local.at);
        local.syncLog();
        CHECK(local.take<reply>().size() == 2);
        CHECK(local.take<send_call>().empty());
    }

    SECTION("a refused call is sent to the other endpoint with the same claim")
    {
        local.table.onCallEnded(sent[0].id, {call_status::refused, {}}, local.at);
        const auto again = local.take<send_call>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].endpoint != sent[0].endpoint);
        CHECK(again[0].fencing == sent[0].fencing);

        SECTION("when all endpoints refuse, the claim is voided before the reply is sent")
        {
            local.table.onCallEnded(again[0].id, {call_status::refused, {}}, local.at);
            CHECK(local.take<reply>().empty());
            local.syncLog();
            const auto replies = local.take<reply>();
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == disposition::not_run);
            CHECK(replies[0].retryAfter > 0s);
        }
    }

    SECTION("after a lost answer the endpoints are queried and the call is not sent again")
    {
        local.table.onCallEnded(sent[0].id, {call_status::failed, {}}, local.at);
        auto queries = local.take<query_status>();
        REQUIRE(queries.size() == 1);
        CHECK(queries[0].endpoint == sent[0].endpoint);

        SECTION("a query finds the result")
        {
            local.table.onCallEnded(queries[0].id, {call_status::answered, R"({"state":"done","result":{"n":7}})"},
                                    local.at);
            const auto replies = local.take<reply>();
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].result == "{\"n\":7}");
        }
        SECTION("no endpoint knows the call, so the outcome is unknown")
        {
            std::vector<reply> replies;
            for (int i = 0; i < 20 && replies.empty(); ++i) {
                for (const query_status &query : queries) {
                    local.table.onCallEnded(query.id, {call_status::answered, R"({"state":"not_known"})"}, local.at);
                }
                local.advance(200ms);
                queries = local.take<query_status>();
                replies = local.take<reply>();
            }
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == disposition::unknown);
            local.syncLog();
            CHECK(local.ledger.unknownRuns().size() == 1);

            SECTION("a later query finds the result")
            {
                local.table.retryUnknownRuns(local.configuration, local.at);
                const auto later = local.take<query_status>();
                REQUIRE(later.size() == 1);
                local.table.onCallEnded(later[0].id, {call_status::answered, R"({"state":"done","result":{"n":7}})"},
                                        local.at);
                local.syncLog();
                local.syncLog();
                CHECK(local.ledger.find(key, local.at.wall).standing == ledger::run_standing::finished);
            }
            SECTION("an operator settles the run, with or without a query in flight")
            {
                const bool isQueryInFlight = GENERATE(false, true);
                if (isQueryInFlight) {
                    local.table.retryUnknownRuns(local.configuration, local.at);
                    CHECK(local.take<query_status>().size() == 1);
                }
                local.ledger.settle(key, 0, R"({"n":7})", local.at.now);
                local.syncLog();
                local.syncLog();
                CHECK(local.ledger.find(key, local.at.wall).standing == ledger::run_standing::finished);
                CHECK(local.table.size() == 0);
                CHECK(local.take<cancel_call>().size() == (isQueryInFlight ? 1 : 0));
            }
        }
        CHECK(local.take<send_call>().empty());
    }

    SECTION("at the deadline the reply is `unknown`, and a late answer is recorded")
    {
        local.advance(4s);
        const auto replies = local.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::unknown);
        CHECK(local.take<cancel_call>().empty());
        local.table.onCallEnded(sent[0].id, {call_status::answered, "{\"n\":7}"}, local.at);
        local.syncLog();
        CHECK(local.ledger.find(key, local.at.wall).standing == ledger::run_standing::finished);
        CHECK(local.table.size() == 0);
    }
}

TEST_CASE("a broken stream is retried at another endpoint")
{
    test_instance local;
    const run_id id = local.submit("chat", "{}", true);
    const auto first = local.take<send_call>();
    REQUIRE(first.size() == 1);
    local.table.onText(first[0].id, "one two ", local.at);
    CHECK(local.take<stream_text>().size() == 1);

    SECTION("the same text: the caller gets only the part that is new")
    {
        local.table.onCallEnded(first[0].id, {call_status::invalid, {}}, local.at);
        const auto second = local.take<send_call>();
        REQUIRE(second.size() == 1);
        CHECK(second[0].endpoint != first[0].endpoint);
        local.table.onText(second[0].id, "one ", local.at);
        CHECK(local.take<stream_text>().empty());
        local.table.onText(second[0].id, "two three", local.at);
        const auto texts = local.take<stream_text>();
        REQUIRE(texts.size() == 1);
        CHECK(texts[0].text == "three");
        local.table.onCallEnded(second[0].id, {call_status::answered, {}}, local.at);
        const auto replies = local.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].result == "one two three");
    }

    SECTION("a different or shorter text: the request fails")
    {
        local.table.onCallEnded(first[0].id, {call_status::invalid, {}}, local.at);
        const auto second = local.take<send_call>();
        REQUIRE(second.size() == 1);
        const std::string text = GENERATE("one ten ", "one ");
        local.table.onText(second[0].id, text, local.at);
        local.table.onCallEnded(second[0].id, {call_status::answered, {}}, local.at);
        const auto replies = local.take<reply>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].outcome == disposition::failed);
        CHECK(local.take<stream_text>().empty());
    }

    SECTION("the call is cancelled when the caller disconnects")
    {
        local.table.onCallerGone(id, local.at);
        CHECK(local.take<cancel_call>().size() == 1);
        CHECK(local.table.size() == 0);
    }
}
