#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// One priority class of a service.
struct priority_config {
    std::string name;
    milliseconds latency_target{1000};
    double weight = 1.0;
    bool idempotent = false;
    /// Urgency before the latency target: a lower rank goes first.
    std::uint32_t rank = 0;
};

/// What the operators declare about one service.
struct service_config {
    std::string name;
    /// In the order of the document; the first is the default class of a call.
    std::vector<priority_config> priorities;
    /// Share of the capacity that is divided among all classes by weight, whatever the load.
    double reserve = 0.3;
    /// Limit of requests per second that only measure an upstream.
    double probe_budget_per_s = 2.0;
    /// Retries allowed per successful call.
    double retry_ratio = 0.1;
    std::uint32_t queue_limit_per_priority = 200;
    /// Share of an upstream's slots that is used at once. Many upstreams get slower with the last
    /// ones than the additional concurrency is worth.
    double slot_share = 1.0;
    std::string balancing_policy = "two_choices";
    /// Path that an upstream answers with 200 while it is healthy and not leaving.
    std::string health_path;
    /// Connections that one upstream accepts from all callers; 0 means not limited.
    std::uint32_t max_connections = 0;

    const priority_config* find_priority(std::string_view priority) const;
};

/// Service that gets a share of the calls of a route.
struct route_target {
    std::string service;
    double weight = 1.0;
};

/// Requests of one host below one path, and how they are to be handled.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix = "/";
    /// Either a single service or a weighted split.
    std::string service;
    std::vector<route_target> split;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{60'000};
    /// Latency within which an answer is worth its full value.
    milliseconds latency_target{1'000};
    /// Upstreams that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Urgency, 0 for the highest.
    std::uint32_t rank = 0;
    /// Whether a request may run more than once.
    bool idempotent = false;

    /// Service for a request whose position in the split is given in [0, 1).
    const std::string& service_at(double position) const;
};

/// What callers may send, and for how long they may be silent.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{300'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// The configuration document as a whole, valid and in force.
struct document {
    /// Grows with every accepted change; 0 stands for no change.
    std::uint64_t version = 0;
    std::vector<service_config> services;
    std::vector<route> routes;
    caller_limits limits;
    /// Indexes of the routes of each host, the longest path prefix first; made by index_routes().
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;

    const service_config* find_service(std::string_view service) const;

    /// To be called after the routes have changed.
    void index_routes();

    /// Route with the longest prefix of the path; null when none matches. The host is the value of
    /// the Host header, the target a path with its query.
    const route* find_route(std::string_view host, std::string_view target) const;
};

} // namespace chestnutstand
