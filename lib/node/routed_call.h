#pragma once

#include "chestnutstand/transport/call.h"

namespace chestnutstand {

/// Returns true if the call came in through a route (caller_interface::routes) rather than through
/// /call/. The route of a routed call decides how often it may run, so its repeatability is never
/// by_class; it never has an idempotency key.
inline bool is_routed(const service_call& call)
{
    return call.repeat != repeatability::by_class;
}

inline bool runs_at_most_once(const service_call& call)
{
    return call.repeat == repeatability::at_most_once;
}

} // namespace chestnutstand
