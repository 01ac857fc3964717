#pragma once

#include "chestnutstand/support/log.h"
#include "chestnutstand/support/name_table.h"
#include "chestnutstand/transport/headers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutstand {

/// Address of the gossip socket of a node through which a new node may join.
struct seed_address {
    std::string address;
    std::uint16_t gossip_port = 0;
};

/// IP address and port of a socket.
struct socket_address {
    std::string address;
    std::uint16_t port = 0;
};

/// Splits an IP:PORT that was validated before.
socket_address split_address(const std::string& text);

/// How a caller's request selects its service.
enum class caller_interface : std::uint8_t {
    calls,  ///< By its path /call/{service}/{path}; a header has the priority class.
    routes, ///< By host and path, which a route of the document maps to a service.
};

inline constexpr name_table<caller_interface, 2> caller_interface_names{{"calls", "routes"}};

/// Transport of calls between nodes.
enum class node_carrier : std::uint8_t { grpc, http };

inline constexpr name_table<node_carrier, 2> node_carrier_names{{"grpc", "http"}};

/// Limit on the retries to one service by all nodes together; a window of 0 means that each node
/// has its own limit instead.
struct retry_settings {
    double ratio = 0.0;
    double slack = 0.0;
    double window_s = 0.0;
};

/// Settings of one process.
struct settings {
    /// IP address that all sockets bind to.
    std::string address = "127.0.0.1";
    /// IP address at which the other nodes reach the node port and the gossip port; differs from
    /// address only behind network address translation.
    std::string advertised_address;
    std::string data_centre;
    // Port 0 means that the kernel assigns one.
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t node_port = 0;
    std::uint16_t gossip_port = 0;
    /// IP:PORT for callers; when empty, address and caller_port are used.
    std::string caller_address;
    /// IP:PORT that serves only the readiness of this node; empty means none.
    std::string readiness_address;
    /// IP:PORT that serves only the registration of the upstream; empty means none.
    std::string registration_address;
    /// Base URL of the log service, http://ip:port, when the document is built from a log of
    /// changes.
    std::string log_url;
    /// Base URL of the keyed store, http://ip:port, when the document is kept in one record.
    std::string store_url;
    chestnutstand::caller_interface interface_for_callers = caller_interface::calls;
    header_names headers;
    /// Service of the upstream on this VM, sent to the upstreams that its requests reach.
    std::string origin_service;
    std::vector<seed_address> seeds;
    /// Authenticates idempotency keys and distinguishes clusters; must be the same on all nodes.
    std::string cluster_secret;
    log_level lowest_log_level = log_level::info;
    /// Must be the same on all nodes.
    node_carrier carrier = node_carrier::grpc;
    retry_settings retry_limits;
    std::uint32_t http_threads = 2;
    double drain_limit_ms = 30'000;
    double lame_duck_ms = 2'000;
    /// Time from SIGTERM to SIGKILL; when set, drain_limit_ms and lame_duck_ms are derived from it.
    double grace_s = 0;
    /// Memory in MiB beyond which the platform ends the process; 0 for no limit.
    double memory_limit_mb = 0;
    /// Open descriptors beyond which the platform refuses further ones; 0 for those of the process
    /// limit.
    std::uint32_t descriptor_limit = 0;
    /// Bandwidth of the VM's link; 0 if unknown.
    double link_mbps = 0;
    double log_retention_ms = 86'400'000;
};

} // namespace chestnutstand
