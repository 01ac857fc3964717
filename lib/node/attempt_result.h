#pragma once

#include "chestnutstand/transport/call.h"

namespace chestnutstand {

// Predicates on the result of one attempt that decide about the next one.

/// Returns true if the upstream may have received the attempt and made further calls for it. Every
/// refusal other than the upstream's own happens before the upstream sees the call.
inline bool reached_upstream(const call_result& result)
{
    return result.outcome != call_outcome::not_run ||
           result.reason == reason_code::upstream_refused;
}

/// Returns true if an admission queue refused the attempt.
inline bool refused_by_queue(const call_result& result)
{
    return result.outcome == call_outcome::not_run &&
           (result.reason == reason_code::queue_full ||
            result.reason == reason_code::queue_timeout ||
            result.reason == reason_code::deadline_unmeetable);
}

/// Returns true if another attempt may succeed after this response.
inline bool is_transient_failure(const http_response& response)
{
    return response.status == 502 || response.status == 503 || response.status == 504;
}

} // namespace chestnutstand
