#pragma once

#include "chestnutstand/support/name_table.h"

#include <cstdint>
#include <string_view>

namespace chestnutstand {

/// What the response to a call states about its execution.
enum class call_outcome : std::uint8_t {
    completed, ///< The upstream ran the call and its response was received in full.
    not_run,   ///< No upstream ran the call.
    unknown,   ///< The call may or may not have run.
};

inline constexpr name_table<call_outcome, 3> outcome_names{{"completed", "not-run", "unknown"}};

/// Why a call was refused, retried or not completed. The names appear in responses, logs and
/// counters.
enum class reason_code : std::uint8_t {
    none,
    // Invalid request.
    malformed_request,
    unknown_service,
    unknown_route,
    unknown_priority,
    malformed_deadline,
    malformed_key,
    key_required,
    key_reused,
    body_too_large,
    headers_too_large,
    depth_exceeded,
    unknown_api_key,
    // Refused before the call ran.
    no_configuration,
    no_upstream,
    no_route,
    draining,
    queue_full,
    upstream_slow,
    upstream_rate_limited,
    upstream_cold,
    quota_exceeded,
    memory_exhausted,
    data_centre_evacuated,
    displaced,
    queue_timeout,
    deadline_unmeetable,
    deadline_exceeded,
    upstream_refused,
    upstream_replaced,
    upstream_unreachable,
    wrong_instance,
    key_fenced,
    key_expired,
    stale_key,
    key_table_full,
    peer_unreachable,
    retry_budget_exhausted,
    caller_gone,
    // The call may have run, or is still running.
    upstream_timeout,
    time_limit,
    upstream_connection_lost,
    upstream_answer_truncated,
    upstream_answer_malformed,
    upstream_answer_mismatched,
    upstream_answer_unframed,
    upstream_answer_too_large,
    peer_connection_lost,
    node_stopping,
    executor_gone,
    owner_unreachable,
    key_running,
    internal,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason_code::internal) + 1;

inline constexpr name_table<reason_code, reason_count> reason_names{{
    "none",
    "malformed_request",
    "unknown_service",
    "unknown_route",
    "unknown_priority",
    "malformed_deadline",
    "malformed_key",
    "key_required",
    "key_reused",
    "body_too_large",
    "headers_too_large",
    "depth_exceeded",
    "unknown_api_key",
    "no_configuration",
    "no_upstream",
    "no_route",
    "draining",
    "queue_full",
    "upstream_slow",
    "upstream_rate_limited",
    "upstream_cold",
    "quota_exceeded",
    "memory_exhausted",
    "data_centre_evacuated",
    "displaced",
    "queue_timeout",
    "deadline_unmeetable",
    "deadline_exceeded",
    "upstream_refused",
    "upstream_replaced",
    "upstream_unreachable",
    "wrong_instance",
    "key_fenced",
    "key_expired",
    "stale_key",
    "key_table_full",
    "peer_unreachable",
    "retry_budget_exhausted",
    "caller_gone",
    "upstream_timeout",
    "time_limit",
    "upstream_connection_lost",
    "upstream_answer_truncated",
    "upstream_answer_malformed",
    "upstream_answer_mismatched",
    "upstream_answer_unframed",
    "upstream_answer_too_large",
    "peer_connection_lost",
    "node_stopping",
    "executor_gone",
    "owner_unreachable",
    "key_running",
    "internal",
}};

/// Name of a reason as it appears in responses, logs and counters.
constexpr std::string_view to_string(reason_code value)
{
    return reason_names.name(value);
}

/// Name of an outcome as it appears in responses and logs.
constexpr std::string_view to_string(call_outcome value)
{
    return outcome_names.name(value);
}

} // namespace chestnutstand
