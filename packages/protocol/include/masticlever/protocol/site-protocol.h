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
/// The boundary to the site that a daemon runs on: how callers, endpoints and the site's store spell what the
/// project's types hold. An implementation translates and decides nothing.

namespace masticlever::protocol
{

/// Records of the site's store that a daemon follows or writes.
enum class store_topic {
    configuration, ///< written by the operators
    endpoints, ///< written by the endpoints
    instances, ///< written by the daemons
};

/// A record with a key; without a value it removes the key.
struct store_record {
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value;
};

/// Records from an offset on.
struct record_page {
    std::uint64_t end = 0; ///< offset of the next record to be written
    std::vector<store_record> records;
};

/// Newest record of each key.
struct listing_page {
    std::uint64_t end = 0;
    bool hasMore = false;
    std::vector<store_record> records;
};

struct store_call {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
};

class site_protocol
{
public:
    virtual ~site_protocol() = default;

    virtual bool isReadinessCheck(const http1::message_head &head) const = 0;
    /// error::malformed when an attribute cannot be read.
    virtual common::result<request_attributes> readRequest(const http1::message_head &head) const = 0;
    /// The head as an endpoint gets it, without framing.
    virtual http1::message_head forwarded(const http1::message_head &head, const forward_options &options) const = 0;
    virtual answer_attributes readAnswer(const http1::message_head &head) const = 0;
    /// An endpoint's head as the caller gets it, without framing.
    virtual http1::message_head returned(const http1::message_head &head) const = 0;
    /// An answer of the daemon's own.
    virtual http1::message_head ownAnswer(int status, std::string_view requestId,
                                          std::optional<common::duration> retryAfter) const = 0;

    virtual http1::message_head pieceCall(std::string_view address, std::string_view endpointId) const = 0;
    virtual std::string pieceCallBody(std::span<const piece_order> orders) const = 0;
    virtual common::result<std::vector<piece_result>> readPieceAnswer(std::string_view body) const = 0;
    virtual http1::message_head releaseCall(std::string_view address) const = 0;
    virtual std::string releaseBody(std::span<const std::string> handles) const = 0;

    virtual store_call readCall(store_topic topic, std::uint64_t from, common::duration wait) const = 0;
    /// error::truncated when records from that offset on are no longer kept.
    virtual common::result<record_page> readRecords(int status, std::string_view body, std::uint64_t from) const = 0;
    virtual store_call listCall(store_topic topic, std::string_view afterKey) const = 0;
    virtual common::result<listing_page> readListing(int status, std::string_view body) const = 0;
    virtual store_call publishCall(store_topic topic, std::string_view key, std::string_view value) const = 0;

    /// Whether a record of the configuration topic is the configuration.
    virtual bool isConfigurationKey(std::string_view key) const = 0;
    virtual common::result<catalog::service_configuration> readConfiguration(std::string_view value) const = 0;
    virtual common::result<catalog::endpoint_record> readEndpoint(std::string_view id,
                                                                  std::string_view value) const = 0;
};

} // namespace masticlever::protocol
