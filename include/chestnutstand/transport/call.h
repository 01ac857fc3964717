#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"
#include "chestnutstand/transport/cancellation.h"
#include "chestnutstand/transport/shared_body.h"

#include <array>
#include <cstddef>
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
    shared_body body;
    /// Sends the request on a new connection, as a pooled one may have died unnoticed.
    bool fresh_connection = false;
    /// Name of a header that the response must return with the value of the request; empty for
    /// none. A connection that delivers a mismatched response is not reused, as the response to
    /// this request may still arrive on it.
    std::string echoed_header{};
    /// Time in which the response has to begin; 0 for no limit besides that of the whole exchange.
    /// A short one detects a lost response without a limit of the time that a long one takes.
    milliseconds response_start_timeout{0};
    /// Limit of the body of the response, in bytes; 0 for none besides that of the client.
    std::size_t max_response_bytes = 0;
    /// Bytes that are sent before the body, as a part of it; empty in received requests.
    std::string body_prefix{};
};

struct http_response {
    int status = 0;
    /// Without hop-by-hop headers.
    std::vector<http_header> headers;
    shared_body body;
    /// Bytes that are sent before the body, as a part of it; empty in received responses.
    std::string body_prefix{};
};

/// SHA-256 digest of a request.
using fingerprint = std::array<std::uint8_t, 32>;

/// Whether a call may run more than once, and which setting decides that.
enum class repeatability : std::uint8_t {
    by_class,     ///< Decided by the priority class; a non-repeatable call carries a key.
    repeatable,   ///< The route allows the call to run more than once.
    at_most_once, ///< The route forbids it; the request id identifies the call.
};

/// A call as it is passed from the ingress to the upstream.
struct service_call {
    std::string service;
    std::string priority;
    time_point deadline;
    /// When the response has to be complete to meet the latency target, which counts from the
    /// caller's first try; nullopt if the call is a first try that begins at its arrival.
    std::optional<time_point> due;
    /// Time limit that the caller named; zero for none. Not sent to other nodes.
    milliseconds caller_time_limit{0};
    /// Whether the request or its response is large, so that it should stay within the data centre
    /// as long as it can be served in time there. Not sent to other nodes.
    bool is_bulk = false;
    std::uint32_t depth = 0;
    /// Attempts left for the whole call tree below this call.
    std::uint32_t retry_budget = 0;
    repeatability repeat = repeatability::by_class;
    /// Whether the sender can dispatch the call to another node, so that the call need not wait for
    /// a slow upstream.
    bool movable = false;
    /// Empty for a call without an idempotency key.
    std::string idempotency_key;
    /// Unique per attempt; the upstream returns it in its response.
    std::string request_id;
    /// Name of the tenant whose API key the request carried; empty for none.
    std::string tenant;
    /// Identifies that API key without containing it; 0 for a call without a tenant.
    std::uint64_t key_id = 0;
    /// Version of the document that admitted the call with this key, or without one; 0 if the entry
    /// node does not state it.
    std::uint64_t document_version = 0;
    http_request request;
    /// Null when the call cannot be cancelled.
    std::shared_ptr<cancellation> cancel;
};

struct queue_length {
    std::string priority;
    std::uint32_t length = 0;
};

/// Load of a node's upstream as observed by that node.
struct load_report {
    std::uint64_t instance = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::vector<queue_length> queues;
    milliseconds latency{0};
    /// Current duration of work on the upstream's VM relative to its usual duration, which is 1.
    double pace = 1.0;
    bool draining = false;
    bool upstream_registered = false;
};

/// Outcome of a call and the response, if there is one.
struct call_result {
    call_outcome outcome = call_outcome::unknown;
    reason_code reason = reason_code::internal;
    /// Set when the outcome is completed.
    http_response response;
    /// Load of the executing node; set only when that node sent the result.
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
