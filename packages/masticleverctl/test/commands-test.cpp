#include "commands.h"

#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <map>

using namespace masticlever::masticleverctl;

namespace
{

/// Answers by method and path; everything else gets the status of a lost answer.
class scripted_api : public api
{
public:
    response send(const request &what) override
    {
        sent.push_back(what);
        const auto found = answers.find(QString::fromLatin1(what.method) + QLatin1Char(' ') + what.path);
        return found == answers.end() ? response{0, {}, QStringLiteral("cut")} : found->second;
    }

    void answer(const char *what, int status, const QByteArray &json)
    {
        answers[QLatin1StringView(what)] = {status, QJsonDocument::fromJson(json).object(), {}};
    }

    std::map<QString, response> answers;
    std::vector<request> sent;
};

} // namespace

TEST_CASE("an operator runs commands")
{
    scripted_api server;
    QString out;
    QString err;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QStringLiteral("id-1"); }, {2, {}});
    commands run(
        server, runner, output_format::text, [&](const QString &text) { out += text; },
        [&](const QString &text) { err += text; });
    for (const char *kind : {"endpoint", "pipeline", "team"}) {
        server.answer(qPrintable(QStringLiteral("GET /v1/resources/") + QLatin1StringView(kind)), 200,
                      R"({"items":[]})");
    }
    const QTemporaryDir folder;
    const QString path = folder.filePath(QStringLiteral("team.json"));
    const auto declare = [&](const QByteArray &json) {
        QFile file(path);
        REQUIRE(file.open(QIODevice::WriteOnly | QIODevice::Truncate));
        file.write(json);
    };
    declare(R"({"kind":"team","name":"hawick","spec":{"weight":2}})");

    SECTION("a dry run shows the plan and sends no change")
    {
        CHECK(run.apply({path, true, false}) == exit_code::changed);
        CHECK(out.contains(QStringLiteral("create team/hawick")));
        CHECK(server.sent.size() == 3);
    }

    SECTION("apply brings a folder's declarations into force")
    {
        server.answer("PUT /v1/resources/team/hawick", 201, R"({"outcome":"accepted"})");
        CHECK(run.apply({folder.path(), false, false}) == exit_code::changed);
        CHECK(server.sent.back().expectedVersion == 0);

        SECTION("and does nothing the second time")
        {
            server.answer("GET /v1/resources/team", 200,
                          R"({"items":[{"kind":"team","name":"hawick","version":5,"spec":{"weight":2}}]})");
            CHECK(run.apply({folder.path(), false, true}) == exit_code::unchanged);
        }
    }

    SECTION("a change without a certain outcome is told with its id")
    {
        CHECK(run.apply({path, false, false}) == exit_code::unknown);
        CHECK(out.contains(QStringLiteral("id-1")));
    }

    SECTION("a faulty declaration is refused before anything is sent")
    {
        declare(R"({"kind":"team","name":"hawick","spec":{"wieght":2}})");
        CHECK(run.apply({path, false, false}) == exit_code::refused);
        CHECK(err.contains(QStringLiteral("spec.wieght")));
        CHECK(server.sent.empty());
    }

    SECTION("delete names the version that it has read")
    {
        server.answer("GET /v1/resources/team/hawick", 200, R"({"name":"hawick","version":9})");
        server.answer("DELETE /v1/resources/team/hawick", 200, R"({"outcome":"accepted"})");
        CHECK(run.remove(QStringLiteral("team"), QStringLiteral("hawick"), {}) == exit_code::changed);
        CHECK(server.sent.back().expectedVersion == 9);
    }

    SECTION("get counts the instances that hold the version")
    {
        server.answer("GET /v1/resources/team", 200,
                      R"({"items":[{"kind":"team","name":"hawick","version":5,
                          "status":{"in_force":[{"instance":"a","offset":6},{"instance":"b","offset":4}]}}]})");
        CHECK(run.get(QStringLiteral("team"), {}) == exit_code::unchanged);
        CHECK(out.contains(QStringLiteral("1/2")));
    }

    SECTION("a read that fails leaves nothing in doubt")
    {
        CHECK(run.describe(QStringLiteral("team"), QStringLiteral("absent")) == exit_code::refused);
    }

    SECTION("a settlement that lost its answer is unknown, one that was refused is refused")
    {
        CHECK(run.settleRun(QStringLiteral("t"), QStringLiteral("k"), "{}") == exit_code::unknown);
        server.answer("POST /v1/operator/runs/t/k/settle", 409, R"({"detail":"this run is not in doubt"})");
        CHECK(run.settleRun(QStringLiteral("t"), QStringLiteral("k"), "{}") == exit_code::refused);
        CHECK(err.contains(QStringLiteral("not in doubt")));
    }
}

TEST_CASE("a watch tells what changed and what has gone")
{
    scripted_api server;
    QString out;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QString(); }, {});
    commands run(
        server, runner, output_format::text, [&](const QString &text) { out += text; }, [](const QString &) {});
    server.answer("GET /v1/watch?from=0&wait_ms=20000", 200,
                  R"({"offset":4,"changed":[{"kind":"team","name":"hawick","version":4}],"present":["team/hawick"]})");
    server.answer("GET /v1/watch?from=4&wait_ms=20000", 200, R"({"offset":5,"changed":[],"present":[]})");
    CHECK(run.watch(0, 2) == exit_code::unchanged);
    CHECK(out.contains(QStringLiteral("hawick  4")));
    CHECK(out.contains(QStringLiteral("team/hawick removed")));
}
