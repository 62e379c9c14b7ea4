#pragma once

#include "fleet.h"

/// \file
/// The pipelines that the process tests run.

namespace masticlever::process
{

/// Pipeline "advice": encode, then a streamed generate.
fleet_builder adviceFleet(std::size_t daemons = 3);

/// Pipeline "booking": quote, then order (not repeatable, with a status query), then confirm.
/// Pipeline "pickup": dispatch (not repeatable, without a status query).
fleet_builder bookingFleet(std::size_t daemons = 3);

/// A caller's body.
QJsonObject request(const QString &prompt, int tokens = 20);

/// The problem type of an answer, without the prefix "urn:masticlever:"; empty when it is none.
QString problemOf(const http_call &call);

/// The text of a stream that is whole: closed by an end event whose length and digest fit. Empty when it is not.
QByteArray wholeText(const http_call &call);

} // namespace masticlever::process
