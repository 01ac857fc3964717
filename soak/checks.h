#pragma once

#include "records.h"

#include "chestnutstand/support/name_table.h"

#include <string>
#include <vector>

namespace chestnutstand::soak {

enum class promise : std::uint8_t {
    at_most_once,   ///< A request that must not repeat reached an upstream twice.
    true_refusal,   ///< A request reported as not run has run.
    own_answer,     ///< A caller got another request's answer.
    graceful_stop,  ///< A planned stop lost a call, or did not end with status 0.
    drain,          ///< An upstream got work long after its node began to stop.
    config_order,   ///< A node went back to an older document.
    config_in_time, ///< A document was not in force in time.
    repeat_budget,  ///< Upstreams got more repeats than the limits allow.
    answer_in_time, ///< A caller was kept waiting past the time limit of its route.
    recovery,       ///< The service did not come back after the last fault.
};

inline constexpr name_table<promise, 10> promise_names{
    {"at_most_once", "true_refusal", "own_answer", "graceful_stop", "drain", "config_order",
     "config_in_time", "repeat_budget", "answer_in_time", "recovery"}};

struct violation {
    promise broken = promise::at_most_once;
    /// Names the request or the node, and what was seen.
    std::string detail;
};

/// What the promises state in numbers.
struct promise_limits {
    double drain_ms = 3'000;
    double config_ms = 3'000;
    double time_limit_ms = 2'000;
    /// Time by which an answer may come after its time limit.
    double time_limit_slack_ms = 250;
    double repeat_ratio = 0.2;
    double repeat_slack = 20;
    double repeat_window_ms = 10'000;
    /// Whether promises about times count; on a busy machine they may not.
    bool timing = true;
};

std::vector<violation> check(const run_record& seen, const promise_limits& limits);

} // namespace chestnutstand::soak
