#pragma once

#include <masticlever/catalog/evacuation-table.h>
#include <masticlever/common/result.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/stages/batch-queue.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Messages between an instance that needs stage results and the home of the stage's service, and between a subscriber
/// to endpoint registrations and the instance that reads them from the store for the fleet. Wire format: length of the
/// body (4 bytes, big endian), then the body in cereal's portable binary format.

namespace masticlever::stages
{

/// Asks for pieces. Times are relative because clocks differ between instances.
struct piece_request_message {
    std::string service;
    piece_request request; ///< without owner, objective and deadline
    std::int64_t objectiveLeft = 0; ///< microseconds until the latency objective, negative if it has passed
    std::int64_t deadlineLeft = 0; ///< microseconds until the deadline
};

/// Cancels all pieces of a job.
struct cancel_message {
    std::uint64_t job = 0;
};

/// Results that are no longer needed.
struct release_message {
    std::string service;
    std::vector<std::string> handles;
};

struct result_entry {
    std::uint64_t piece = 0;
    std::string handle; ///< empty: the piece failed
    std::uint8_t failure = 0; ///< protocol::piece_failure
};

struct results_message {
    std::uint64_t job = 0;
    std::uint64_t stage = 0;
    std::vector<result_entry> results;
};

struct service_delay {
    std::string service;
    std::vector<std::int64_t> delays; ///< expected microseconds to compute a new piece, by priority
};

/// Sent by a home several times a second while it has work from the receiver. Without services, it carries the load of
/// model endpoints between an instance and the reader of the registrations.
struct status_message {
    std::vector<service_delay> services;
    /// A report to the reader or an update from it, encoded by the package routing; empty: none. Earlier versions do
    /// not read it, and ignore a status from a subscriber or the reader.
    std::string endpointLoad;
};

/// Subscribes to the endpoint registrations that the receiver reads from the store.
struct subscribe_message {
    std::uint64_t configurationVersion = 0; ///< in force at the subscriber
    std::vector<catalog::evacuation_record> evacuations; ///< known to the subscriber
};

/// Configuration and endpoint registrations read from the store, sent to subscribers.
struct directory_message {
    std::uint64_t configurationVersion = 0;
    std::string configuration; ///< of that version, compressed; empty: the receiver has it or reads it itself
    bool hasRegistrations = true; ///< the registrations were just read; otherwise only the configuration is new
    bool isWhole = false; ///< full listing: endpoints missing from \c changed are removed
    std::vector<catalog::endpoint_record> changed;
    std::vector<std::string> removed; ///< ids
    /// Of the store from which the registrations were read; 0: unknown, as from senders of earlier versions.
    std::uint64_t storeGeneration = 0;
    std::vector<catalog::evacuation_record> evacuations; ///< known to the sender; empty: not sent with this message
};

using home_message = std::variant<piece_request_message, cancel_message, release_message, results_message,
                                  status_message, subscribe_message, directory_message>;

constexpr std::size_t maximumHomeMessageBytes = std::size_t{1024} * 1024;

std::string encodeHomeMessage(const home_message &message);

/// Removes the first message from the front of \p bytes and returns it; empty while the message is incomplete. After
/// error::too_large or error::malformed the connection must be closed.
common::result<std::optional<home_message>> takeHomeMessage(std::string &bytes);

} // namespace masticlever::stages
