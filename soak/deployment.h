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

/// A node, the upstream beside it, and a relay on each of its links. The relays are never deleted
/// because their threads use them until the process exits.
struct soak_node {
    std::size_t index = 0;
    std::string data_centre;
    std::string service;
    std::unique_ptr<testing::process> node;
    std::unique_ptr<testing::process> upstream;
    testing::relay* caller_link = nullptr;
    testing::relay* upstream_link = nullptr;
    testing::relay* store_link = nullptr;
    /// Used by the upstream to register; gets no faults.
    testing::relay* admin_link = nullptr;
    // Replaced at each start of the node, which takes new ports.
    testing::relay* node_link = nullptr;
    datagram_relay* gossip_link = nullptr;
    std::atomic<std::uint16_t> admin_port = 0;
    std::atomic<std::uint16_t> upstream_port = 0;
    /// Number of starts of the node so far.
    std::atomic<std::size_t> start_count = 0;
};

/// The processes of a run: nodes that find each other through a store, all on loopback, with relays
/// between them.
class deployment {
public:
    /// Writes logs and records of the processes to `directory`.
    deployment(std::filesystem::path directory, std::size_t nodes, std::uint64_t seed);

    /// Start the node or the upstream of an index, replacing any earlier process. start_node()
    /// throws std::runtime_error if the node does not start.
    void start_node(std::size_t index);
    void start_upstream(std::size_t index);

    /// Writes a config document to the store; returns whether the store accepted it.
    bool publish(std::uint64_t version);
    /// Makes the store lose the reads that wait for a record, on connections that stay open.
    void lose_reads();

    soak_node& node(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    testing::process& store() { return *store_; }
    std::filesystem::path arrivals_file(std::size_t index) const;

    /// Time in which an upstream serves a request.
    static constexpr double service_ms = 15;

    /// Names of the services; the upstreams are spread evenly over them.
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
