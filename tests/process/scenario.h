#pragma once

#include "fleet.h"

/// \file
/// Fleets and pipelines used by the process tests.

namespace masticlever::process
{

/// Pipeline "advice": encode, then generate (streamed).
fleet_builder adviceFleet(std::size_t daemons = 3);

/// Pipeline "booking": quote, then order (not repeatable, with a status query), then confirm.
/// Pipeline "pickup": dispatch (not repeatable, without a status query).
fleet_builder bookingFleet(std::size_t daemons = 3);

/// Body of a caller's request.
QJsonObject request(const QString &prompt, int tokens = 20);

/// Problem type of an answer without the prefix "urn:masticlever:"; empty when the answer is not a problem document.
QString problemOf(const http_call &call);

/// Text of a complete stream, which ends with an end event whose length and digest match the text. Empty otherwise.
QByteArray completeText(const http_call &call);

} // namespace masticlever::process
