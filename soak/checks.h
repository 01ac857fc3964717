#pragma once

#include "records.h"

#include "chestnutstand/support/name_table.h"

#include <string>
#include <vector>

namespace chestnutstand::soak {

enum class guarantee : std::uint8_t {
    at_most_once,   ///< A non-idempotent request ran more than once.
    true_refusal,   ///< A request that was refused as not run has run.
    own_answer,     ///< A caller got a response that is not its own request's.
    graceful_stop,  ///< A planned stop lost a call or exited with a status other than 0.
    drain,          ///< An upstream got a request after the drain limit of its stopping node.
    config_order,   ///< A node reverted to an older config document.
    config_in_time, ///< A node did not apply a config document in time.
    repeat_budget,  ///< Upstreams got more retries and hedges than the limits allow.
    answer_in_time, ///< A call took longer than the time limit of its route.
    recovery,       ///< A route was not served again after the last fault.
};

inline constexpr name_table<guarantee, 10> guarantee_names{
    {"at_most_once", "true_refusal", "own_answer", "graceful_stop", "drain", "config_order",
     "config_in_time", "repeat_budget", "answer_in_time", "recovery"}};

struct violation {
    guarantee violated = guarantee::at_most_once;
    /// The request or the node, and what happened to it.
    std::string detail;
};

/// Bounds of the guarantees.
struct guarantee_limits {
    double drain_ms = 3'000;
    double config_ms = 3'000;
    double time_limit_ms = 2'000;
    /// Allowed delay of a response past the time limit.
    double time_limit_slack_ms = 250;
    double repeat_ratio = 0.2;
    double repeat_slack = 20;
    double repeat_window_ms = 10'000;
    /// Whether to check guarantees about durations; a busy machine may violate them.
    bool timing = true;
};

/// Returns the violations of all guarantees in a run.
std::vector<violation> check(const run_record& record, const guarantee_limits& limits);

} // namespace chestnutstand::soak
