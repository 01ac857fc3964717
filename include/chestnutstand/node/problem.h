#pragma once

#include "chestnutstand/transport/call.h"

#include <string>
#include <string_view>

namespace chestnutstand {

/// Returns the HTTP status for an outcome and its reason.
int status_of(call_outcome outcome, reason_code reason);

/// Returns a problem document (RFC 9457) with headers for the outcome and the reason. A status of 0
/// stands for status_of(outcome, reason).
http_response make_problem(call_outcome outcome, reason_code reason, std::string_view detail = {},
                           int status = 0);

/// Returns the response for the result of a routed call. Status 503 guarantees that the request has
/// not run and will not run; its Retry-After header is set to `retry_after`.
http_response make_routed_response(call_result result, milliseconds retry_after);

/// Returns the response for the result of a call to /call/ or of a query of an outcome.
http_response make_response(call_result result);

} // namespace chestnutstand
