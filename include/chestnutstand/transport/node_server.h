#pragma once

#include "chestnutstand/transport/peer_client.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

/// What a node does for other nodes. Methods run on gRPC threads and must not block; each callback
/// must run exactly once.
class node_handler {
public:
    node_handler() = default;
    node_handler(const node_handler&) = delete;
    node_handler& operator=(const node_handler&) = delete;
    virtual ~node_handler() = default;

    virtual void execute(std::uint64_t target_instance, call what, call_done done) = 0;
    virtual void forward(std::uint64_t target_instance, call what, bool query_only,
                         call_done done) = 0;
    /// An error means that nothing is known or changed, and the query may be repeated.
    virtual absl::StatusOr<settle_result> settle(std::uint64_t target_instance,
                                                 const std::string& key) = 0;
    virtual load_report probe() = 0;
    virtual void fetch_changes(std::uint64_t from_offset, peer_client::changes_done done) = 0;
    virtual void sync_members(std::vector<std::string> members, peer_client::members_done done) = 0;
};

/// gRPC server for calls from other nodes.
class node_server {
public:
    node_server(std::string address, std::uint16_t port, node_handler& handler);
    node_server(const node_server&) = delete;
    node_server& operator=(const node_server&) = delete;
    ~node_server();

    absl::Status start();
    std::uint16_t port() const;

    /// Waits for running calls up to the limit, then cancels them. Idempotent.
    void stop(milliseconds limit);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Client for calls to other nodes, over one gRPC channel per peer.
std::unique_ptr<peer_client> make_grpc_peer_client();

} // namespace chestnutstand
