#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/transport/call.h"
#include "chestnutstand/transport/headers.h"

#include <string>
#include <variant>

namespace chestnutstand {

inline constexpr std::uint32_t max_depth = 25;
inline constexpr milliseconds max_timeout{600'000};
/// Attempts for a whole call tree when the caller does not set a budget.
inline constexpr std::uint32_t default_retry_budget = 3;

/// Why a request was refused without being dispatched.
struct refusal {
    reason_code reason = reason_code::malformed_request;
    std::string detail;
};

/// Reads a call from a request to /call/{service}/{path...}. The call gets no request id.
std::variant<service_call, refusal> parse_call(const http_request& request,
                                               const document* in_force, time_point now);

/// Reads a request whose host and path a route leads to a service. The position in [0, 1) decides
/// between the services of a split. The call keeps the request id of the caller, if it has one.
std::variant<service_call, refusal> parse_routed_call(const http_request& request,
                                                      const document* in_force,
                                                      const header_names& names, double position,
                                                      time_point now);

} // namespace chestnutstand
