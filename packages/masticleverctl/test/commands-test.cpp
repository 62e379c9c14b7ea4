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

/// Responds by method and path; any other request gets the status of a lost response.
class scripted_api : public api
{
public:
    api_response send(const api_request &request) override
    {
        sent.push_back(request);
        const auto found = responses.find(QString::fromLatin1(request.method) + QLatin1Char(' ') + request.path);
        return found == responses.end() ? api_response{0, {}, QStringLiteral("cut")} : found->second;
    }

    void respond(const char *methodAndPath, int status, const QByteArray &json)
    {
        responses[QLatin1StringView(methodAndPath)] = {status, QJsonDocument::fromJson(json).object(), {}};
    }

    std::map<QString, api_response> responses;
    std::vector<api_request> sent;
};

} // namespace

TEST_CASE("commands return their exit code and print their result")
{
    scripted_api server;
    QString out;
    QString err;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QStringLiteral("id-1"); }, {2, {}});
    commands handlers(
        server, runner, output_format::text, [&](const QString &text) { out += text; },
        [&](const QString &text) { err += text; });
    for (const char *kind : {"endpoint", "pipeline", "team"}) {
        server.respond(qPrintable(QStringLiteral("GET /v1/resources/") + QLatin1StringView(kind)), 200,
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
        CHECK(handlers.apply({path, true, false}) == exit_code::changed);
        CHECK(out.contains(QStringLiteral("create team/hawick")));
        CHECK(server.sent.size() == 3);
    }

    SECTION("apply creates the resources that a folder declares")
    {
        server.respond("PUT /v1/resources/team/hawick", 201, R"({"outcome":"accepted"})");
        CHECK(handlers.apply({folder.path(), false, false}) == exit_code::changed);
        CHECK(server.sent.back().expectedVersion == 0);

        SECTION("a second apply changes nothing")
        {
            server.respond("GET /v1/resources/team", 200,
                           R"({"items":[{"kind":"team","name":"hawick","version":5,"spec":{"weight":2}}]})");
            CHECK(handlers.apply({folder.path(), false, true}) == exit_code::unchanged);
        }
    }

    SECTION("a change with an unknown outcome is printed with its id")
    {
        CHECK(handlers.apply({path, false, false}) == exit_code::unknown);
        CHECK(out.contains(QStringLiteral("id-1")));
    }

    SECTION("an invalid declaration is refused before any request is sent")
    {
        declare(R"({"kind":"team","name":"hawick","spec":{"wieght":2}})");
        CHECK(handlers.apply({path, false, false}) == exit_code::refused);
        CHECK(err.contains(QStringLiteral("spec.wieght")));
        CHECK(server.sent.empty());
    }

    SECTION("delete expects the version that it has read")
    {
        server.respond("GET /v1/resources/team/hawick", 200, R"({"name":"hawick","version":9})");
        server.respond("DELETE /v1/resources/team/hawick", 200, R"({"outcome":"accepted"})");
        CHECK(handlers.remove(QStringLiteral("team"), QStringLiteral("hawick"), {}) == exit_code::changed);
        CHECK(server.sent.back().expectedVersion == 9);
    }

    SECTION("get counts the instances that have applied the version")
    {
        server.respond("GET /v1/resources/team", 200,
                       R"({"items":[{"kind":"team","name":"hawick","version":5,
                          "status":{"in_force":[{"instance":"a","offset":6},{"instance":"b","offset":4}]}}]})");
        CHECK(handlers.get(QStringLiteral("team"), {}) == exit_code::unchanged);
        CHECK(out.contains(QStringLiteral("1/2")));
    }

    SECTION("a failed read is refused, not unknown")
    {
        CHECK(handlers.describe(QStringLiteral("team"), QStringLiteral("absent")) == exit_code::refused);
    }

    SECTION("settling a run is unknown after a lost response and refused after a conflict")
    {
        CHECK(handlers.settleRun(QStringLiteral("t"), QStringLiteral("k"), "{}") == exit_code::unknown);
        server.respond("POST /v1/operator/runs/t/k/settle", 409, R"({"detail":"this run is not in doubt"})");
        CHECK(handlers.settleRun(QStringLiteral("t"), QStringLiteral("k"), "{}") == exit_code::refused);
        CHECK(err.contains(QStringLiteral("not in doubt")));
    }
}

TEST_CASE("watch prints changed and removed resources")
{
    scripted_api server;
    QString out;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QString(); }, {});
    commands handlers(
        server, runner, output_format::text, [&](const QString &text) { out += text; }, [](const QString &) {});
    server.respond("GET /v1/watch?from=0&wait_ms=20000", 200,
                   R"({"offset":4,"changed":[{"kind":"team","name":"hawick","version":4}],"present":["team/hawick"]})");
    server.respond("GET /v1/watch?from=4&wait_ms=20000", 200, R"({"offset":5,"changed":[],"present":[]})");
    CHECK(handlers.watch(0, 2) == exit_code::unchanged);
    CHECK(out.contains(QStringLiteral("hawick  4")));
    CHECK(out.contains(QStringLiteral("team/hawick removed")));
}
