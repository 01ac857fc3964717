#pragma once

#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <string>

namespace chestnutstand {

/// Builds the request that is sent to the upstream for a call. upstream_id identifies the upstream
/// process that must handle it; empty when it is not known.
http_request make_upstream_request(const service_call& call, const header_names& names,
                                   const std::string& upstream_id);

/// Timeout of the request to the upstream. A keyed call may run past its deadline, because a
/// timeout would make its outcome unknown.
milliseconds upstream_timeout(const service_call& call, time_point now);

/// Whether the result is a response of the upstream process that the call was sent to, rather than
/// one to another request or of another process at the same address.
bool is_response_of_upstream(const service_call& call, const http_result& result,
                             const header_names& names);

/// Determines the outcome of a call from the upstream's response or from the transport error.
call_result classify_upstream_response(const service_call& call, http_result result,
                                       const header_names& names);

} // namespace chestnutstand
