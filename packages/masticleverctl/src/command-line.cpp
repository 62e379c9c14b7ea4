#include "command-line.h"

#include "commands.h"
#include "completion.h"
#include "http-api.h"

#include <CLI/CLI.hpp>

#include <QThread>
#include <QUuid>

#include <chrono>
#include <iostream>
#include <string>

namespace masticlever::masticleverctl
{

namespace
{

constexpr auto versionText = "masticleverctl 0.1.0";
constexpr std::chrono::milliseconds requestTimeout{30'000};

constexpr auto examples = R"(Examples:
  masticleverctl apply -f examples/slipper --dry-run
  masticleverctl apply -f examples/slipper --prune
  masticleverctl get pipeline
  masticleverctl describe team hawick-workshop
  masticleverctl drain entry-3
  masticleverctl runs
  masticleverctl runs settle TEAM KEY --result '{"order":"4711"}'

Exit codes: 0 unchanged, 2 usage, 10 changed, 11 refused, 12 unknown.
Server and token also come from MASTICLEVER_SERVER and MASTICLEVER_TOKEN.)";

struct arguments {
    std::string server = "http://127.0.0.1:8080";
    std::string token;
    std::string output = "text";
    apply_options apply;
    std::string path;
    std::string kind;
    std::string name;
    std::string team;
    std::string key;
    std::string result;
    std::uint64_t from = 0;
    std::uint64_t version = 0;
    int rounds = 0;
};

void addResourceArguments(CLI::App &command, arguments &args, bool nameRequired)
{
    command.add_option("kind", args.kind, "pipeline, team or endpoint")
        ->required()
        ->check(CLI::IsMember({"pipeline", "team", "endpoint"}));
    command.add_option("name", args.name, "name of the resource")->required(nameRequired);
}

void addApply(CLI::App &app, arguments &args)
{
    CLI::App &command = *app.add_subcommand("apply", "Bring the declarations of a file or folder into force");
    command.add_option("-f,--file", args.path, "JSON file, or folder of them")->required()->check(CLI::ExistingPath);
    command.add_flag("--dry-run", args.apply.dryRun, "Show the plan only");
    command.add_flag("--prune", args.apply.prune, "Remove resources that are not declared");
}

void addResourceCommands(CLI::App &app, arguments &args)
{
    addResourceArguments(*app.add_subcommand("get", "List resources of a kind, or one of them"), args, false);
    addResourceArguments(*app.add_subcommand("describe", "Show a resource in full"), args, true);
    CLI::App &watch = *app.add_subcommand("watch", "Show changes as they come into force");
    watch.add_option("--from", args.from, "Log offset to begin after");
    watch.add_option("--rounds", args.rounds, "Long polls before the command ends; 0 for no end");
    CLI::App &remove = *app.add_subcommand("delete", "Remove a resource");
    addResourceArguments(remove, args, true);
    remove.add_option("--version", args.version, "Version that is expected; default: the present one");
}

void addInstanceCommands(CLI::App &app, arguments &args)
{
    CLI::App &drain = *app.add_subcommand("drain", "Let an entry instance finish its requests and stop");
    drain.add_option("instance", args.name, "name of the instance")->required();
    CLI::App &runs = *app.add_subcommand("runs", "List runs whose outcome is not known, or settle one");
    CLI::App &settle = *runs.add_subcommand("settle", "Record the result that the endpoint's records show");
    settle.add_option("team", args.team, "team of the run")->required();
    settle.add_option("key", args.key, "idempotency key of the run")->required();
    settle.add_option("--result", args.result, "JSON result of the stage")->required();
    app.add_subcommand("version", "Show the version");
    CLI::App &completion = *app.add_subcommand("completion", "Print a completion script for a shell");
    completion.add_option("shell", args.name, "bash")->required()->check(CLI::IsMember({"bash"}));
}

int runCommand(const CLI::App &app, const arguments &args, commands &handlers)
{
    const auto kind = QString::fromStdString(args.kind);
    const auto name = QString::fromStdString(args.name);
    if (app.got_subcommand("apply")) {
        apply_options options = args.apply;
        options.path = QString::fromStdString(args.path);
        return handlers.apply(options);
    }
    if (app.got_subcommand("get")) {
        return handlers.get(kind, name);
    }
    if (app.got_subcommand("describe")) {
        return handlers.describe(kind, name);
    }
    if (app.got_subcommand("watch")) {
        return handlers.watch(args.from, args.rounds);
    }
    if (app.got_subcommand("delete")) {
        const bool hasVersion = app.get_subcommand("delete")->count("--version") > 0;
        return handlers.remove(kind, name, hasVersion ? std::optional(args.version) : std::nullopt);
    }
    if (app.got_subcommand("drain")) {
        return handlers.drain(name);
    }
    const CLI::App *runs = app.get_subcommand("runs");
    if (!runs->got_subcommand("settle")) {
        return handlers.listRuns();
    }
    return handlers.settleRun(QString::fromStdString(args.team), QString::fromStdString(args.key),
                              QByteArray::fromStdString(args.result));
}

int runAgainstServer(const CLI::App &app, const arguments &args)
{
    http_api server(QUrl(QString::fromStdString(args.server)), QByteArray::fromStdString(args.token), requestTimeout);
    change_runner runner(
        server, [](std::chrono::milliseconds wait) { QThread::msleep(static_cast<unsigned long>(wait.count())); },
        [] { return QUuid::createUuid().toString(QUuid::WithoutBraces); }, {});
    const auto out = [](const QString &text) { std::cout << text.toStdString() << std::flush; };
    const auto err = [](const QString &text) { std::cerr << text.toStdString() << std::flush; };
    commands handlers(server, runner, args.output == "json" ? output_format::json : output_format::text, out, err);
    return runCommand(app, args, handlers);
}

} // namespace

int runCommandLine(int argc, const char *const *argv)
{
    CLI::App app("Declares and watches the resources of masticlever.", "masticleverctl");
    arguments args;
    app.footer(examples);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--server", args.server, "URL of any entry instance")->envname("MASTICLEVER_SERVER");
    app.add_option("--token", args.token, "Operator token")->envname("MASTICLEVER_TOKEN");
    app.add_option("--output", args.output, "text or json")->check(CLI::IsMember({"text", "json"}));
    addApply(app, args);
    addResourceCommands(app, args);
    addInstanceCommands(app, args);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    if (app.got_subcommand("version")) {
        std::cout << versionText << '\n';
        return 0;
    }
    if (app.got_subcommand("completion")) {
        std::cout << bashCompletion();
        return 0;
    }
    return runAgainstServer(app, args);
}

} // namespace masticlever::masticleverctl
