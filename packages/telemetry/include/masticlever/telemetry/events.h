#pragma once

#include <masticlever/common/result.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// \file
/// Numbered log events, listed in docs/EVENTS.md. Numbers are never reused.
/// Fields must never contain a token, a caller's request body, an answer or a price.

namespace masticlever::telemetry
{

enum class event : std::uint16_t {
    started = 100,
    ready = 101,
    settings_invalid = 102,
    drain_started = 103,
    drain_finished = 104,
    certificate_reloaded = 105,
    certificate_invalid = 106,

    configuration_applied = 200,
    configuration_regressed = 201,
    configuration_needs_base = 202,
    configuration_diverged = 203,
    snapshot_written = 204,
    change_accepted = 205,
    change_refused = 206,
    change_unknown = 207,

    log_unreachable = 300,
    log_reachable = 301,
    ledger_lagging = 302,
    ledger_caught_up = 303,
    instance_list_unreachable = 304,
    instance_list_reachable = 305,

    run_unknown = 400,
    run_taken = 401,
    run_settled = 402,
    claim_given_up = 403,

    endpoint_leaving = 500,
    endpoint_ejected = 501,
    endpoint_back = 502,
    answer_dropped = 503,
    order_sent = 504,
    order_failed = 505,
    order_lease_taken = 506,
    order_lease_lost = 507,

    peer_message_refused = 600,
    instance_live = 601,
    instance_leaving = 602,
    instance_lost = 603,

    spans_lost = 700,

    request_answered = 800,
    request_ended = 801,
    request_refused = 802,
    call_failed = 803,
    foreign_answer = 804,
    bad_request = 805,
    received_too_much = 806,
    endpoint_crashed = 807,
    prompt_part_changed = 808,
    request_withheld = 809,

    configuration_followed = 810,
    record_ignored = 811,
    endpoint_changed = 812,
    store_unreachable = 813,
    store_reachable = 814,
    endpoint_quiet = 815,
    quiet_unreadable = 816,
    rate_limit_changed = 817,
    rate_limit_unreadable = 818,
    rate_limit_reached = 819,

    piece_call_failed = 820,
    home_lost = 821,
    piece_call_answered = 822,
    reader_followed = 823,
    reader_lost = 824,
    store_restored = 825,
    topic_listed = 826,
    store_call_failed = 827,
    instance_published = 828,
    second_answer_prevented = 829,

    stop_began = 830,
    stopped = 831,
    settings_reloaded = 832,
    process_paused = 833,
    log_lines_dropped = 834,
    evacuation_changed = 835,
    caller_shed = 836,
    invalid_status = 837,
    incomplete_order = 838,

    load_message_ignored = 860,
    endpoint_load_unreadable = 861,
};

enum class log_level { debug, info, warning, error };

using field_value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// A named, typed value of an event; \c name is a string literal in snake_case.
struct field {
    std::string_view name;
    field_value value;
};

struct event_description {
    event number;
    std::string_view name;
    log_level level;
};

/// Returns all events, ordered by number.
std::span<const event_description> eventCatalogue();

/// Parses "debug", "info", "warning" or "error"; error::malformed for any other text.
common::result<log_level> parseLogLevel(std::string_view text);

/// Sets the minimum level of events that are written; the default is info.
void setLogLevel(log_level level);

/// Writes one line to standard output: time (UTC), level, number, name and the fields. Never blocks: lines over the
/// rate limit of their event, or that standard output does not accept at once, are dropped and counted.
void logEvent(event number, std::span<const field> fields = {});
inline void logEvent(event number, std::initializer_list<field> fields)
{
    logEvent(number, std::span<const field>(fields.begin(), fields.size()));
}

/// Formats the part of the line after the level. Text values are quoted if needed, escaped, and truncated to 160 bytes.
std::string formatEvent(event number, std::span<const field> fields);

} // namespace masticlever::telemetry
