#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <optional>

/// \file
/// Interface to the operator API.

namespace masticlever::masticleverctl
{

struct api_request {
    QByteArray method = "GET";
    QString path; ///< including the query
    QByteArray body; ///< JSON
    std::optional<std::uint64_t> expectedVersion; ///< If-Match
    QString changeId;
};

struct api_response {
    int status = 0; ///< HTTP status; 0 without a response, in which case the request may have taken effect
    QJsonObject body;
    QString transportError; ///< set when status is 0

    bool isSuccess() const { return status >= 200 && status < 300; }
    /// Problem type without its prefix, such as "not-run" for "urn:masticlever:not-run"; empty when the body is not a
    /// problem document.
    QString problem() const;
};

class api
{
public:
    virtual ~api() = default;
    virtual api_response send(const api_request &request) = 0;
};

} // namespace masticlever::masticleverctl
