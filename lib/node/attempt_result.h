#pragma once

#include "chestnutstand/transport/call.h"

namespace chestnutstand {

// Predicates on the result of one attempt that decide about the next one.

/// Returns true if the upstream process that the attempt was meant for may have received it and
/// made further calls for it. Of the refusals, only the upstream's own (upstream_refused) counts:
/// all others happen before that process sees the call. That includes upstream_replaced, a response
/// with status 421: another process at the same address has rejected the call because it was meant
/// for its predecessor, and has done no work for it.
inline bool reached_upstream(const call_result& result)
{
    return result.outcome != call_outcome::not_run ||
           result.reason == reason_code::upstream_refused;
}

/// Returns true if the executor of the attempt has to be asked for its outcome: the call arrived
/// after a query that may have fenced it, or its response was lost and it must not run again.
inline bool needs_settlement(const call_result& result, bool may_repeat)
{
    return result.outcome == call_outcome::unknown &&
           (result.reason == reason_code::key_running ||
            (result.reason == reason_code::peer_connection_lost && !may_repeat));
}

/// Returns true if an admission queue refused the attempt.
inline bool refused_by_queue(const call_result& result)
{
    return result.outcome == call_outcome::not_run &&
           (result.reason == reason_code::queue_full ||
            result.reason == reason_code::queue_timeout ||
            result.reason == reason_code::deadline_unmeetable);
}

/// Returns true if the member refused the attempt only because another one may start the call
/// earlier.
inline bool defers_call(const call_result& result)
{
    return result.outcome == call_outcome::not_run &&
           (result.reason == reason_code::upstream_slow ||
            result.reason == reason_code::upstream_rate_limited ||
            result.reason == reason_code::upstream_cold);
}

/// Returns true if another attempt may succeed after this response.
inline bool is_transient_failure(const http_response& response)
{
    return response.status == 502 || response.status == 503 || response.status == 504;
}

} // namespace chestnutstand
