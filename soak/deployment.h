#pragma once

#include "../tests/fault_proxy/relay.h"
#include "../tests/support/process.h"
#include "datagram_relay.h"

#include "chestnutstand/transport/http_client.h"

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chestnutstand::soak {

/// A node, the upstream beside it, and a relay on each of its links. The relays stay until the
/// process ends, as their threads do.
struct soak_node {
    std::size_t index = 0;
    std::string data_centre;
    std::string service;
    std::unique_ptr<testing::process> node;
    std::unique_ptr<testing::process> upstream;
    testing::relay* caller_link = nullptr;
    testing::relay* upstream_link = nullptr;
    testing::relay* store_link = nullptr;
    /// Where the upstream registers; never disturbed.
    testing::relay* admin_link = nullptr;
    // Each start of a node has new ports.
    testing::relay* node_link = nullptr;
    datagram_relay* gossip_link = nullptr;
    std::atomic<std::uint16_t> admin_port = 0;
    std::atomic<std::uint16_t> upstream_port = 0;
    /// Counts the starts of the node.
    std::atomic<std::size_t> life = 0;
};

/// The processes of a run: nodes that find each other through a store, all on loopback, with relays
/// between them.
class deployment {
public:
    /// Logs and records of the processes go into the directory.
    deployment(std::filesystem::path directory, std::size_t nodes, std::uint64_t seed);

    /// Starts the node or the upstream of an index, again if its process has ended.
    void start_node(std::size_t index);
    void start_upstream(std::size_t index);

    /// Writes a document with the version to the store; whether it was accepted.
    bool publish(std::uint64_t version);

    soak_node& node(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    testing::process& store() { return *store_; }
    std::filesystem::path arrivals_file(std::size_t index) const;

    /// Time that an upstream takes for a request.
    static constexpr double service_ms = 15;

    /// Services; the upstreams are spread evenly over them.
    static const std::vector<std::string>& services();

private:
    std::filesystem::path directory_;
    std::uint64_t seed_;
    std::unique_ptr<testing::process> store_;
    std::uint16_t store_port_ = 0;
    std::vector<std::unique_ptr<soak_node>> nodes_;
    std::unique_ptr<http_client> client_;
};

} // namespace chestnutstand::soak
