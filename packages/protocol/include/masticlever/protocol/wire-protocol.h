#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/result.h>
#include <masticlever/http1/message.h>
#include <masticlever/protocol/requests.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Interface to the wire format of the platform that the daemon runs on. It converts between the project's types and
/// the messages of callers, endpoints and the platform's store. Implementations only encode and decode; they make no
/// decisions.

namespace masticlever::protocol
{

/// Topics of the platform's store that a daemon follows or writes.
enum class store_topic {
    configuration, ///< written by the operators
    endpoints, ///< written by the endpoints
    instances, ///< written by the daemons
};

/// A keyed record; a record without a value removes its key.
struct store_record {
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value;
};

/// Consecutive records of a topic, starting at a requested offset.
struct record_page {
    std::uint64_t end = 0; ///< offset to read from next
    std::vector<store_record> records;
};

/// A page of a listing of the newest record of each key.
struct listing_page {
    std::uint64_t end = 0; ///< offset of the next record to be written
    bool hasMore = false;
    std::vector<store_record> records;
};

/// An HTTP request to the store.
struct store_call {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
};

class wire_protocol
{
public:
    virtual ~wire_protocol() = default;

    virtual bool isReadinessCheck(const http1::message_head &head) const = 0;
    /// Returns error::malformed if an attribute cannot be parsed.
    virtual common::result<request_attributes> readRequest(const http1::message_head &head) const = 0;
    /// The request head to send to an endpoint, without framing fields.
    virtual http1::message_head toEndpointHead(const http1::message_head &head,
                                               const forward_options &options) const = 0;
    virtual answer_attributes readAnswer(const http1::message_head &head) const = 0;
    /// The response head of an endpoint as it is sent to the caller, without framing fields.
    virtual http1::message_head toCallerHead(const http1::message_head &head) const = 0;
    /// The head of a response that the daemon creates itself.
    virtual http1::message_head localAnswer(int status, std::string_view requestId,
                                            std::optional<common::duration> retryAfter) const = 0;

    /// \p callId identifies the answer to this call.
    virtual http1::message_head pieceCall(std::string_view address, std::string_view endpointId,
                                          std::string_view callId) const = 0;
    virtual std::string pieceCallBody(std::span<const batch_item> orders) const = 0;
    virtual common::result<std::vector<piece_result>> readPieceAnswer(std::string_view body) const = 0;
    virtual http1::message_head releaseCall(std::string_view address, std::string_view callId) const = 0;
    virtual std::string releaseBody(std::span<const std::string> handles) const = 0;

    virtual store_call readCall(store_topic topic, std::uint64_t from, common::duration wait) const = 0;
    /// Returns error::truncated if the records at offset \p from are no longer retained.
    virtual common::result<record_page> readRecords(int status, std::string_view body, std::uint64_t from) const = 0;
    virtual store_call listCall(store_topic topic, std::string_view afterKey) const = 0;
    virtual common::result<listing_page> readListing(int status, std::string_view body) const = 0;
    virtual store_call publishCall(store_topic topic, std::string_view key, std::string_view value) const = 0;

    /// Generation of the store that responded, which rises whenever the store is restored from a copy; nothing if the
    /// response does not say.
    virtual std::optional<std::uint64_t> storeGeneration(const http1::message_head &head) const = 0;

    /// Whether \p key is the key of the service configuration in the configuration topic.
    virtual bool isConfigurationKey(std::string_view key) const = 0;
    /// The data centre that the record with \p key in the configuration topic evacuates; empty for other keys.
    virtual std::string_view evacuatedDataCentre(std::string_view key) const = 0;
    virtual common::result<catalog::service_configuration> readConfiguration(std::string_view value) const = 0;
    virtual common::result<catalog::endpoint_record> readEndpoint(std::string_view id,
                                                                  std::string_view value) const = 0;
};

} // namespace masticlever::protocol
