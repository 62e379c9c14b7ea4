#pragma once

#include <QJsonArray>
#include <QString>
#include <QStringList>

/// \file
/// Formats JSON objects as a text table.

namespace masticlever::masticleverctl
{

/// Returns a header line and one line per object. The column "in_force" shows how many of the reporting instances have
/// applied the object's version.
QString tableText(const QJsonArray &objects, const QStringList &columns);

} // namespace masticlever::masticleverctl
