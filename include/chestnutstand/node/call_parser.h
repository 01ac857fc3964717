#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/transport/call.h"
#include "chestnutstand/transport/headers.h"

#include <string>
#include <variant>

namespace chestnutstand {

inline constexpr std::uint32_t max_depth = 25;
inline constexpr milliseconds max_timeout{600'000};
/// Retry budget of a whole call tree if the caller does not send one.
inline constexpr std::uint32_t default_retry_budget = 3;

/// Reason why a request is refused without being dispatched.
struct refusal {
    reason_code reason = reason_code::malformed_request;
    std::string detail;
};

/// Parses a request to /call/{service}/{path...}. Leaves the request id of the call empty. A null
/// `in_force` means that the node has no configuration yet; the request is then refused.
std::variant<service_call, refusal> parse_call(const http_request& request,
                                               const document* in_force, time_point now);

/// Parses a request whose service is determined by a route for its host and path. The position in
/// [0, 1) selects a service of a weighted split. The call keeps the request id that the caller
/// sent; without one, the request id is empty.
std::variant<service_call, refusal> parse_routed_call(const http_request& request,
                                                      const document* in_force,
                                                      const header_names& names, double position,
                                                      time_point now);

} // namespace chestnutstand
