#pragma once

#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <string>

namespace chestnutstand {

/// The request that is sent to the upstream for a call; upstream_id names the process that it is
/// meant for, if known.
http_request make_upstream_request(const service_call& call, const header_names& names,
                                   const std::string& upstream_id);

/// Time that the upstream gets for a call. A keyed call that has started runs to its end, so that
/// its outcome does not become unknown when its deadline passes.
milliseconds upstream_timeout(const service_call& call, time_point now);

/// What the upstream's response, or the lack of one, says about the call.
call_result classify_upstream_response(const service_call& call, http_result result,
                                       const header_names& names);

} // namespace chestnutstand
