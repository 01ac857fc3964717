#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

class tenant_directory;

/// Priority class of a service.
struct priority_config {
    std::string name;
    milliseconds latency_target{1000};
    double weight = 1.0;
    bool idempotent = false;
    /// Ordered before the latency target: calls of a lower rank are served first.
    std::uint32_t rank = 0;
};

/// What the operators declare about one service.
struct service_config {
    std::string name;
    /// In the order of the document; the first is the class of calls that name none.
    std::vector<priority_config> priorities;
    /// Share of the capacity that is reserved for the classes in proportion to their weights,
    /// whatever the load.
    double reserve = 0.3;
    /// Limit of probe requests per second, which only measure an upstream.
    double probe_budget_per_s = 2.0;
    /// Retries allowed per successful call.
    double retry_ratio = 0.1;
    std::uint32_t queue_limit_per_priority = 200;
    /// Share of an upstream's slots that may be in use at once. In many upstreams the last slots
    /// add less concurrency than they cost in latency.
    double slot_share = 1.0;
    std::string balancing_policy = "two_choices";
    /// Path at which an upstream responds with status 200 while it is healthy and not leaving.
    std::string health_path;
    /// Connections that one upstream accepts from all callers together; 0 means unlimited.
    std::uint32_t max_connections = 0;
    /// Time for which an upstream stays slow after its start.
    double cold_start_s = 0.0;
    /// Requests per second that an upstream takes while it is cold; 0 means not limited.
    double cold_per_s = 0.0;

    const priority_config* find_priority(std::string_view priority) const;
};

/// Service that gets a share of the requests of a route, in proportion to its weight.
struct route_target {
    std::string service;
    double weight = 1.0;
};

/// What the operators say about the requests of a route.
enum class request_kind : std::uint8_t {
    non_idempotent, ///< May run once at most.
    idempotent,
    download, ///< Idempotent, with large responses.
    upload,   ///< Not idempotent, with large bodies.
};

inline constexpr name_table<request_kind, 4> request_kind_names{
    {"non_idempotent", "idempotent", "download", "upload"}};

/// How requests to one host whose path has one prefix are handled.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix = "/";
    /// Exactly one of service and split is set.
    std::string service;
    std::vector<route_target> split;
    /// Time after which a caller gets a response in any case.
    milliseconds timeout{60'000};
    /// Latency up to which a response has its full value.
    milliseconds latency_target{1'000};
    /// Maximum number of upstreams that one request is sent to.
    std::uint32_t attempts = 1;
    /// Rank of the priority class; 0 is the most urgent.
    std::uint32_t rank = 0;
    request_kind kind = request_kind::non_idempotent;
    /// Whether the document says enough to serve the route. The requests of a route that is not
    /// usable are refused; they must not fall to the route with the next shorter prefix.
    bool usable = true;
    /// Whether requests need no API key although the document has tenants.
    bool anonymous = false;

    /// Whether a request may run more than once.
    bool idempotent() const
    {
        return kind == request_kind::idempotent || kind == request_kind::download;
    }

    /// Service of a request; position, in [0, 1), selects the target within the weights of the
    /// split.
    const std::string& service_at(double position) const;
};

/// Limits on the size of a caller's request and on how long a caller may be silent.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{300'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Client account whose requests carry an API key and share one rate limit over all nodes.
struct tenant {
    std::string name;
    /// API keys; several are valid at once while they are rotated.
    std::vector<std::string> keys;
    /// Replaces the rank of the route; nullopt for none.
    std::optional<std::uint32_t> rank;
    /// Requests per second over all nodes; 0 means not limited.
    double rate_per_s = 0.0;
    /// Requests beyond the rate that may follow a pause.
    double burst = 0.0;
};

/// What a node cannot take from a document as it is written. Each text names the place and shows no
/// API key.
struct tolerated_values {
    /// Names that this version does not know, with what they are read as.
    std::vector<std::string> unknown_names;
    /// Numbers that are replaced by the nearest one that nodes support.
    std::vector<std::string> adjusted;
    /// Entries and values that are damaged. They are not used, and the requests that need them are
    /// refused.
    std::vector<std::string> left_out;
};

/// The whole configuration document after validation.
struct document {
    /// Increases with every accepted change; 0 before the first.
    std::uint64_t version = 0;
    std::vector<service_config> services;
    std::vector<route> routes;
    std::vector<tenant> tenants;
    caller_limits limits;
    tolerated_values tolerated;
    /// Indexes of the routes of each host, the longest path prefix first; built by index_routes().
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    /// Index of the tenants' keys, built by index_tenants(). Its positions are those of tenants.
    /// Null if the document has no list of tenants; not null if that list is empty.
    std::shared_ptr<const tenant_directory> directory;

    const service_config* find_service(std::string_view service) const;

    /// Whether requests need the API key of a tenant, except on anonymous routes. A document that
    /// lists no tenant any more has removed all keys; one without the list never asked for any.
    bool requires_keys() const { return directory != nullptr; }

    /// Rebuilds routes_by_host; must be called after routes has changed.
    void index_routes();

    /// Rebuilds directory; must be called after tenants has changed, and only for a document that
    /// has a list of tenants.
    void index_tenants();

    /// Route of the host with the longest matching path prefix; null when none matches. host is the
    /// value of the Host header, target the path with its query.
    const route* find_route(std::string_view host, std::string_view target) const;
};

} // namespace chestnutstand
