#pragma once

#include "chestnutstand/transport/call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Default names of the headers exchanged with callers and upstreams.
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

/// Header names that a deployment uses, by default those of chestnutstand's own interface. A header
/// with an empty name is neither sent nor read.
struct header_names {
    std::string request_id{header::request_id};
    std::string timeout_ms{header::timeout_ms};
    std::string priority{header::priority};
    std::string depth{header::depth};
    std::string retry_budget{header::retry_budget};
    std::string idempotency_key{header::idempotency_key};
    std::string outcome{header::outcome};
    std::string reason{header::reason};
    /// Set by an upstream that did not run the request.
    std::string not_run{header::not_run};
    /// Identifies the upstream process that the request is addressed to.
    std::string upstream_id;
    /// Service on whose VM the request originated.
    std::string origin_service;
    /// Load that an upstream reports in its responses.
    std::string upstream_load;
    /// Requests per second that an upstream takes from all callers together.
    std::string upstream_rate_limit;
    /// Set in the responses of an upstream that is about to leave.
    std::string upstream_leaving;
    /// Tells an upstream the tenant of a request.
    std::string tenant;
    /// Time in milliseconds for which an upstream stays cold, in responses of its health path.
    std::string upstream_cold;
};

/// Compares header names case-insensitively.
bool header_name_equal(std::string_view left, std::string_view right);

/// Removes leading and trailing spaces, tabs and line ends.
std::string_view trim_whitespace(std::string_view text);

/// Value of the first header with that name, which is compared case-insensitively.
std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                            std::string_view name);

/// Removes hop-by-hop headers (RFC 9110, 7.6.1), the headers that Connection lists, and the framing
/// headers, which are set again for the next hop.
void remove_hop_by_hop_headers(std::vector<http_header>& headers);

/// Removes the headers that only chestnutstand may set, under the names of the deployment.
void remove_reserved_headers(std::vector<http_header>& headers, const header_names& names = {});

/// Replaces all headers of that name by a single one with the value.
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);

} // namespace chestnutstand
