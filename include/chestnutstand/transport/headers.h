#pragma once

#include "chestnutstand/transport/call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Headers of the interfaces to callers and upstreams.
namespace header {
inline constexpr std::string_view priority = "Chestnut-Priority";
inline constexpr std::string_view timeout_ms = "Chestnut-Timeout-Ms";
inline constexpr std::string_view depth = "Chestnut-Depth";
inline constexpr std::string_view retry_budget = "Chestnut-Retry-Budget";
inline constexpr std::string_view request_id = "Chestnut-Request-Id";
inline constexpr std::string_view outcome = "Chestnut-Outcome";
inline constexpr std::string_view reason = "Chestnut-Reason";
inline constexpr std::string_view not_run = "Chestnut-Not-Run";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
} // namespace header

/// Names of the headers in one deployment; by default those of chestnutstand's own interface. A
/// header whose name is empty is neither sent nor read.
struct header_names {
    std::string request_id{header::request_id};
    std::string timeout_ms{header::timeout_ms};
    std::string priority{header::priority};
    std::string depth{header::depth};
    std::string retry_budget{header::retry_budget};
    std::string idempotency_key{header::idempotency_key};
    std::string outcome{header::outcome};
    std::string reason{header::reason};
    /// Says that the upstream did not run the request.
    std::string not_run{header::not_run};
    /// Names the upstream process that a request is meant for.
    std::string upstream_id;
    /// Names the service on whose VM a request began.
    std::string origin_service;
    /// Load that an upstream reports with its responses.
    std::string upstream_load;
};

/// Compares header names without regard to case.
bool header_name_equal(std::string_view left, std::string_view right);

/// Text without the blanks and line ends around it.
std::string_view trim_whitespace(std::string_view text);

/// Value of the first header with that name.
std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                            std::string_view name);

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1), those that the
/// Connection header names, and the message framing that the next hop sets itself.
void remove_hop_by_hop_headers(std::vector<http_header>& headers);

/// Removes the headers that only chestnutstand sets, under the names of the deployment.
void remove_reserved_headers(std::vector<http_header>& headers, const header_names& names = {});

/// Replaces all headers of a name by one with the given value.
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);

} // namespace chestnutstand
