#pragma once

#include "chestnutstand/support/log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutstand {

/// Address of a gossip socket that may help a new node to join.
struct seed_address {
    std::string address;
    std::uint16_t gossip_port = 0;
};

/// Settings of one process, read at its start.
struct settings {
    /// IP address that all sockets bind to and that is told to peers.
    std::string address = "127.0.0.1";
    std::string data_centre;
    // Port 0 means assigned by the kernel.
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t node_port = 0;
    std::uint16_t gossip_port = 0;
    /// Base URL of the log service, http://ip:port.
    std::string log_url;
    std::vector<seed_address> seeds;
    /// Authenticates idempotency keys; the same on all nodes.
    std::string cluster_secret;
    log_level lowest_log_level = log_level::info;
    std::uint32_t http_threads = 2;
    double drain_limit_ms = 30'000;
    double lame_duck_ms = 2'000;
    double log_retention_ms = 86'400'000;
};

} // namespace chestnutstand
