#include <masticlever/telemetry/events.h>

#include <array>

namespace masticlever::telemetry
{

namespace
{

using enum event;
using enum log_level;

constexpr auto catalogue = std::to_array<event_description>({
    {started, "started", info},
    {ready, "ready", info},
    {settings_invalid, "settings_invalid", error},
    {drain_started, "drain_started", info},
    {drain_finished, "drain_finished", info},
    {certificate_reloaded, "certificate_reloaded", info},
    {certificate_invalid, "certificate_invalid", error},
    {configuration_applied, "configuration_applied", info},
    {configuration_regressed, "configuration_regressed", error},
    {configuration_needs_base, "configuration_needs_base", warning},
    {configuration_diverged, "configuration_diverged", error},
    {snapshot_written, "snapshot_written", info},
    {change_accepted, "change_accepted", info},
    {change_refused, "change_refused", info},
    {change_unknown, "change_unknown", warning},
    {log_unreachable, "log_unreachable", warning},
    {log_reachable, "log_reachable", info},
    {ledger_lagging, "ledger_lagging", warning},
    {ledger_caught_up, "ledger_caught_up", info},
    {instance_list_unreachable, "instance_list_unreachable", warning},
    {instance_list_reachable, "instance_list_reachable", info},
    {run_unknown, "run_unknown", warning},
    {run_taken, "run_taken", info},
    {run_settled, "run_settled", info},
    {claim_given_up, "claim_given_up", warning},
    {endpoint_leaving, "endpoint_leaving", info},
    {endpoint_ejected, "endpoint_ejected", warning},
    {endpoint_back, "endpoint_back", info},
    {answer_dropped, "answer_dropped", warning},
    {order_sent, "order_sent", info},
    {order_failed, "order_failed", warning},
    {order_lease_taken, "order_lease_taken", info},
    {order_lease_lost, "order_lease_lost", warning},
    {peer_message_refused, "peer_message_refused", warning},
    {instance_live, "instance_live", info},
    {instance_leaving, "instance_leaving", info},
    {instance_lost, "instance_lost", warning},
    {spans_lost, "spans_lost", warning},
    {request_answered, "request_answered", info},
    {request_ended, "request_ended", info},
    {request_refused, "request_refused", info},
    {call_failed, "call_failed", info},
    {foreign_answer, "foreign_answer", warning},
    {bad_request, "bad_request", info},
    {received_too_much, "received_too_much", warning},
    {endpoint_crashed, "endpoint_crashed", warning},
    {prompt_part_changed, "prompt_part_changed", warning},
    {request_withheld, "request_withheld", info},
    {configuration_followed, "configuration_followed", info},
    {record_ignored, "record_ignored", warning},
    {endpoint_changed, "endpoint_changed", info},
    {store_unreachable, "store_unreachable", warning},
    {store_reachable, "store_reachable", info},
    {endpoint_quiet, "endpoint_quiet", info},
    {quiet_unreadable, "quiet_unreadable", warning},
    {rate_limit_changed, "rate_limit_changed", info},
    {rate_limit_unreadable, "rate_limit_unreadable", warning},
    {rate_limit_reached, "rate_limit_reached", info},
    {piece_call_failed, "piece_call_failed", warning},
    {home_lost, "home_lost", warning},
    {piece_call_answered, "piece_call_answered", debug},
    {reader_followed, "reader_followed", info},
    {reader_lost, "reader_lost", warning},
    {store_restored, "store_restored", warning},
    {topic_listed, "topic_listed", info},
    {store_call_failed, "store_call_failed", info},
    {instance_published, "instance_published", info},
    {second_answer_prevented, "second_answer_prevented", error},
    {stop_began, "stop_began", info},
    {stopped, "stopped", info},
    {settings_reloaded, "settings_reloaded", info},
    {process_paused, "process_paused", warning},
    {log_lines_dropped, "log_lines_dropped", warning},
    {evacuation_changed, "evacuation_changed", warning},
    {caller_shed, "caller_shed", warning},
    {invalid_status, "invalid_status", warning},
    {incomplete_order, "incomplete_order", warning},
    {load_message_ignored, "load_message_ignored", warning},
    {endpoint_load_unreadable, "endpoint_load_unreadable", warning},
});

} // namespace

std::span<const event_description> eventCatalogue()
{
    return catalogue;
}

} // namespace masticlever::telemetry
