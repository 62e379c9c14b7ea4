#pragma once

#include <QJsonArray>
#include <QString>
#include <QStringList>

/// \file
/// JSON objects as a table of text.

namespace masticlever::masticleverctl
{

/// One line for each object, under a line of headings. The column "in_force" counts the instances that hold the
/// object's version, of all instances that report.
QString tableText(const QJsonArray &objects, const QStringList &columns);

} // namespace masticlever::masticleverctl
