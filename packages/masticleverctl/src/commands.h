#pragma once

#include "api.h"
#include "change-runner.h"

#include <QString>
#include <QStringList>

#include <cstdint>
#include <functional>
#include <optional>

/// \file
/// The operator's commands; each gives back its exit code.

namespace masticlever::masticleverctl
{

enum exit_code : int { unchanged = 0, usage = 2, changed = 10, refused = 11, unknown = 12 };

enum class output_format { text, json };

struct apply_options {
    QString path;
    bool dryRun = false;
    bool prune = false;
};

class commands
{
public:
    using writer = std::function<void(const QString &)>;

    commands(api &server, change_runner &runner, output_format format, writer out, writer err);

    int apply(const apply_options &options);
    int get(const QString &kind, const QString &name);
    int describe(const QString &kind, const QString &name);
    /// Prints changes as they come into force; \p rounds bounds the long polls, 0 for no bound.
    int watch(std::uint64_t from, int rounds);
    int remove(const QString &kind, const QString &name, std::optional<std::uint64_t> version);
    int drain(const QString &instance);
    int listRuns();
    int settleRun(const QString &team, const QString &key, const QByteArray &resultJson);

private:
    enum class request_effect { reads, changes };

    std::optional<std::vector<present_resource>> readPresent();
    int showAnswer(const response &answer, const QStringList &columns);
    int fail(const response &answer, request_effect effect);
    void showWatched(const QJsonObject &body, QStringList &known);
    void showPlan(const std::vector<step> &steps);
    void showOutcome(const step &what, const step_outcome &outcome);

    api &m_server;
    change_runner &m_runner;
    output_format m_format;
    writer m_out;
    writer m_err;
};

} // namespace masticlever::masticleverctl
