#pragma once

#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/peer_client.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Handles requests from other nodes. Methods run on the server's threads and must not block; each
/// callback must run exactly once.
class node_handler {
public:
    node_handler() = default;
    node_handler(const node_handler&) = delete;
    node_handler& operator=(const node_handler&) = delete;
    virtual ~node_handler() = default;

    virtual void execute(std::uint64_t target_instance, service_call call, call_done done) = 0;
    virtual void forward(std::uint64_t target_instance, service_call call, bool query_only,
                         call_done done) = 0;
    /// An error means that the key's state is unknown and unchanged; the query may be repeated.
    virtual absl::StatusOr<settle_result> settle(std::uint64_t target_instance,
                                                 const std::string& key) = 0;
    virtual load_report probe() = 0;
    virtual void fetch_changes(const fetch_request& request, peer_client::changes_done done) = 0;
    virtual void sync_members(std::vector<std::string> members, peer_client::members_done done) = 0;
    virtual void acquire_quota(const quota_request& /*request*/, peer_client::quota_done done)
    {
        const auto reply = std::move(done);
        reply(absl::UnimplementedError("this node grants no quotas"));
    }
};

/// Server for requests from other nodes.
class node_endpoint {
public:
    node_endpoint() = default;
    node_endpoint(const node_endpoint&) = delete;
    node_endpoint& operator=(const node_endpoint&) = delete;
    virtual ~node_endpoint() = default;

    virtual absl::Status start() = 0;
    virtual std::uint16_t port() const = 0;

    /// Whether all replies have been written. Always true for gRPC, whose stop() waits for them.
    virtual bool idle() const { return true; }

    /// Cancels the calls still running: the gRPC server after the timeout, the HTTP server at once.
    /// Idempotent.
    virtual void stop(milliseconds timeout) = 0;
};

/// gRPC server.
class node_server final : public node_endpoint {
public:
    node_server(std::string address, std::uint16_t port, node_handler& handler);
    ~node_server() override;

    absl::Status start() override;
    std::uint16_t port() const override;
    void stop(milliseconds timeout) override;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// gRPC client for other nodes, with one channel per peer instance.
std::unique_ptr<peer_client> make_grpc_peer_client();

/// HTTP/1.1 server that exchanges the same Protobuf messages.
std::unique_ptr<node_endpoint> make_http_node_server(std::string address, std::uint16_t port,
                                                     node_handler& handler,
                                                     std::shared_ptr<memory_budget> memory = {});

/// Client for nodes that serve HTTP/1.1. Does not own the HTTP client, which must outlive it.
std::unique_ptr<peer_client> make_http_peer_client(http_client& client);

} // namespace chestnutstand
