#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"
#include "chestnutstand/transport/cancellation.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    /// Path and query, without the service prefix.
    std::string target;
    /// Without hop-by-hop headers.
    std::vector<http_header> headers;
    std::string body;
    /// Forbids a pooled connection, which may have gone silent since its last use.
    bool fresh_connection = false;
    /// Name of a header that the response has to repeat; empty when there is none. A connection
    /// with another response is not used again: the one that belongs to the request may still come.
    std::string echoed_header{};
};

struct http_response {
    int status = 0;
    /// Without hop-by-hop headers.
    std::vector<http_header> headers;
    std::string body;
};

/// SHA-256 digest of a request.
using fingerprint = std::array<std::uint8_t, 32>;

/// How often a call may run, and what decides about it.
enum class repeatability : std::uint8_t {
    by_class,     ///< The priority class says so; a call that must not repeat carries a key.
    repeatable,   ///< The route of the call allows it to run more than once.
    at_most_once, ///< The route forbids it, and the request id identifies the call.
};

/// A call as it travels from ingress to the upstream.
struct service_call {
    std::string service;
    std::string priority;
    time_point deadline;
    std::uint32_t depth = 0;
    /// Attempts left for the whole call tree below this call.
    std::uint32_t retry_budget = 0;
    repeatability repeat = repeatability::by_class;
    /// Whether the sender can place the call elsewhere instead of having it wait for a slow
    /// upstream.
    bool movable = false;
    /// Empty for a call without a key.
    std::string idempotency_key;
    /// Unique per attempt; the upstream echoes it.
    std::string request_id;
    http_request request;
    /// Null when the call cannot be cancelled.
    std::shared_ptr<cancellation> cancel;
};

struct queue_length {
    std::string priority;
    std::uint32_t length = 0;
};

/// Load of a node's upstream as the node itself knows it.
struct load_report {
    std::uint64_t instance = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::vector<queue_length> queues;
    milliseconds latency{0};
    /// How long work takes on the upstream's VM at this moment; 1 for the usual time.
    double pace = 1.0;
    bool draining = false;
    bool upstream_registered = false;
};

/// How a call ended.
struct call_result {
    call_outcome outcome = call_outcome::unknown;
    reason_code reason = reason_code::internal;
    /// Set when the outcome is completed.
    http_response response;
    /// Load of the executor, when the result came from one.
    std::optional<load_report> load;
};

using call_done = std::function<void(call_result)>;

inline call_result not_run(reason_code reason)
{
    return {call_outcome::not_run, reason, {}, {}};
}
inline call_result unknown_outcome(reason_code reason)
{
    return {call_outcome::unknown, reason, {}, {}};
}

} // namespace chestnutstand
