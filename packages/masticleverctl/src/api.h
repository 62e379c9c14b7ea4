#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <optional>

/// \file
/// The operator API as the commands see it.

namespace masticlever::masticleverctl
{

struct request {
    QByteArray method = "GET";
    QString path; ///< with query
    QByteArray body; ///< JSON
    std::optional<std::uint64_t> expectedVersion; ///< If-Match
    QString changeId;
};

struct response {
    int status = 0; ///< HTTP status; 0: no answer, the request may have taken effect
    QJsonObject body;
    QString fault; ///< of the transport, when there is no answer

    bool isSuccess() const { return status >= 200 && status < 300; }
    /// "not-run" of "urn:masticlever:not-run"; empty when the body is no problem document.
    QString problem() const;
};

class api
{
public:
    virtual ~api() = default;
    virtual response send(const request &what) = 0;
};

} // namespace masticlever::masticleverctl
