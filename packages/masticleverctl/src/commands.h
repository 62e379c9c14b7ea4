#pragma once

#include "api.h"
#include "change-runner.h"

#include <QString>
#include <QStringList>

#include <cstdint>
#include <functional>
#include <optional>

/// \file
/// The operator commands; each returns its exit code.

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
    /// Prints changes as they come into force. \p rounds limits the number of long polls; 0 means no limit.
    int watch(std::uint64_t from, int rounds);
    int remove(const QString &kind, const QString &name, std::optional<std::uint64_t> version);
    int drain(const QString &instance);
    int listRuns();
    int settleRun(const QString &team, const QString &key, const QByteArray &resultJson);

private:
    enum class request_effect { reads, changes };

    std::optional<std::vector<current_resource>> readCurrent();
    int printItems(const api_response &response, const QStringList &columns);
    int reportError(const api_response &response, request_effect effect);
    void printWatchUpdate(const QJsonObject &body, QStringList &previous);
    void printPlan(const std::vector<plan_step> &steps);
    void printOutcome(const plan_step &step, const step_outcome &outcome);

    api &m_server;
    change_runner &m_runner;
    output_format m_format;
    writer m_out;
    writer m_err;
};

} // namespace masticlever::masticleverctl
