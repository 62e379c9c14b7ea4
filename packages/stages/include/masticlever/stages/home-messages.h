#pragma once

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
/// Messages between an instance that needs stage results and the home of the stage's service, or that follows the
/// endpoints and the one that reads them for the fleet. Wire form: length of what follows (4 bytes, big endian), then
/// cereal's portable binary form.

namespace masticlever::stages
{

/// Asks for pieces. Times are what is left, as clocks differ between instances.
struct wish_message {
    std::string service;
    piece_wish wish; ///< without owner, objective and deadline
    std::int64_t objectiveLeft = 0; ///< microseconds, negative once it has passed
    std::int64_t deadlineLeft = 0; ///< microseconds
};

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
    std::string handle; ///< empty: it failed
    std::uint8_t failure = 0;
};

struct results_message {
    std::uint64_t job = 0;
    std::uint64_t stage = 0;
    std::vector<result_entry> results;
};

struct service_delay {
    std::string service;
    std::vector<std::int64_t> delays; ///< microseconds until a new piece would be made, by priority
};

/// What a home says several times a second while it has work for the receiver.
struct status_message {
    std::vector<service_delay> services;
};

/// Asks an instance to pass on what it reads of the endpoints' registrations.
struct subscribe_message {
    std::uint64_t configurationVersion = 0; ///< in force at the subscriber
};

/// What an instance has read from the store.
struct directory_message {
    std::uint64_t configurationVersion = 0;
    std::string configuration; ///< of that version, compressed; empty: the receiver has it, or reads it for itself
    bool isRead = true; ///< the registrations were read just now; otherwise only the configuration is news
    bool isWhole = false; ///< endpoints that \c changed lacks are gone
    std::vector<catalog::endpoint_record> changed;
    std::vector<std::string> removed; ///< ids
};

using home_message = std::variant<wish_message, cancel_message, release_message, results_message, status_message,
                                  subscribe_message, directory_message>;

constexpr std::size_t maximumHomeMessageBytes = std::size_t{1024} * 1024;

std::string encodeHomeMessage(const home_message &message);

/// Takes the first whole message from the front of \p bytes; nothing while it is incomplete. error::too_large or
/// malformed end the connection.
common::result<std::optional<home_message>> takeHomeMessage(std::string &bytes);

} // namespace masticlever::stages
