#pragma once

#include <QByteArray>
#include <QJsonObject>

/// \file
/// Results of the fake endpoints as functions of the caller's request, so that a test can detect an answer that belongs
/// to another request.

namespace masticlever::fakes
{

QByteArray sha256(const QByteArray &data);

/// SHA-256 of the request's compact JSON.
QByteArray requestDigest(const QJsonObject &request);

/// First 16 digits of the SHA-256 of the request's prompt.
QByteArray promptDigest(const QJsonObject &request);

/// Number of tokens that the request asks for ("max_tokens").
int tokenCount(const QJsonObject &request);

/// Token \p index of the generated text; the first one is the prompt's digest.
QByteArray token(const QJsonObject &request, int index);

/// Concatenation of all tokens.
QByteArray generatedText(const QJsonObject &request);

} // namespace masticlever::fakes
