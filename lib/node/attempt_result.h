#pragma once

#include "chestnutstand/transport/call.h"

namespace chestnutstand {

// What the end of one attempt means for the next.

/// Whether the attempt may have caused further calls by its upstream. Every refusal but the
/// upstream's own comes before the upstream sees the call.
inline bool reached_upstream(const call_result& result)
{
    return result.outcome != call_outcome::not_run ||
           result.reason == reason_code::upstream_refused;
}

inline bool refused_by_queue(const call_result& result)
{
    return result.outcome == call_outcome::not_run &&
           (result.reason == reason_code::queue_full ||
            result.reason == reason_code::queue_timeout ||
            result.reason == reason_code::deadline_unmeetable);
}

/// Whether a complete response says that another attempt may do better.
inline bool is_transient_failure(const http_response& response)
{
    return response.status == 502 || response.status == 503 || response.status == 504;
}

} // namespace chestnutstand
