#pragma once

#include "chestnutstand/transport/call.h"

#include <string>
#include <string_view>

namespace chestnutstand {

/// HTTP status that a caller gets for an outcome and its reason.
int status_of(call_outcome outcome, reason_code reason);

/// Problem document (RFC 9457) with the headers that state outcome and reason; status 0 means the
/// status of outcome and reason.
http_response make_problem(call_outcome outcome, reason_code reason, std::string_view detail = {},
                           int status = 0);

/// The response a caller gets for the result of a routed call: 503 promises that the request has
/// not run and will not run, and says when to come back.
http_response make_routed_response(call_result result, milliseconds retry_after);

/// The response a caller gets for the result of its call.
http_response make_response(call_result result);

} // namespace chestnutstand
