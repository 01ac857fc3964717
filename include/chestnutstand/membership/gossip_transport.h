#pragma once

#include "chestnutstand/membership/swim.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace chestnutstand {

/// Packets and bytes of UDP payload since the process started.
struct gossip_traffic {
    std::uint64_t packets_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t packets_received = 0;
    std::uint64_t bytes_received = 0;
    /// Bytes of push-pull exchanges, which use gRPC instead of UDP.
    std::uint64_t sync_bytes_sent = 0;
    std::uint64_t sync_bytes_received = 0;
};

/// UDP socket with one receive thread. Received datagrams are handled on the control thread.
class gossip_transport {
public:
    using handler = std::function<void(const std::string& payload)>;

    /// Binds the socket to an IPv4 address and starts the receive thread. For port 0 the kernel
    /// assigns a port.
    static absl::StatusOr<std::unique_ptr<gossip_transport>>
    open(const std::string& address, std::uint16_t port, control_loop& loop, handler on_datagram);

    gossip_transport(const gossip_transport&) = delete;
    gossip_transport& operator=(const gossip_transport&) = delete;
    ~gossip_transport();

    std::uint16_t port() const { return port_; }
    /// Does not block: a datagram that the socket does not accept immediately is dropped.
    void send(const datagram& out);
    gossip_traffic traffic() const;

private:
    gossip_transport(int socket, int stop_event, std::uint16_t port, control_loop& loop,
                     handler on_datagram);
    void receive();

    const int socket_;
    /// Event descriptor that stops the receive thread.
    const int stop_event_;
    const std::uint16_t port_;
    control_loop& loop_;
    const std::shared_ptr<const handler> handler_;
    std::atomic<std::uint64_t> packets_sent_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> packets_received_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::thread thread_;
};

} // namespace chestnutstand
