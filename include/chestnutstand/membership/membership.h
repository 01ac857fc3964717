#pragma once

#include "chestnutstand/config/log_client.h"
#include "chestnutstand/config/settings.h"
#include "chestnutstand/membership/gossip_transport.h"
#include "chestnutstand/membership/member.h"
#include "chestnutstand/membership/member_directory.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/peer_client.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

struct membership_options {
    /// Instance, address, ports and data centre of this node.
    member self;
    /// Address of the gossip socket; empty means that of self.
    std::string bind_address;
    std::vector<seed_address> seeds;
    /// See cluster_id().
    std::uint64_t cluster = 0;
    std::uint64_t random_seed = 0;
};

/// This node's part in the cluster: joining, gossip and the routing table. All methods are called
/// on the control thread, except where noted. The loop and the clients outlive the object.
class membership {
public:
    membership(membership_options options, control_loop& loop,
               std::shared_ptr<member_directory> directory, peer_client& peers);
    /// With a directory in the members stream of the log.
    membership(membership_options options, control_loop& loop, log_client& log, peer_client& peers);
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;
    /// Any thread.
    ~membership();

    /// Binds the UDP socket (port 0: assigned by the kernel) and starts to join. Any thread, once.
    absl::Status start();
    /// Any thread, after start.
    std::uint16_t gossip_port() const;

    /// An empty service means that no upstream is registered.
    void set_local_upstream(const std::string& service, std::uint32_t slots);
    void set_draining();
    /// Tells peers that this node stops; best effort. Gossip ends.
    void leave();

    /// Members that may receive calls, this node included. Any thread; never null after start.
    const snapshot<routing_table>& table() const;
    /// All known members, this node first.
    std::vector<member> members() const;
    /// How long no message of another member has arrived.
    milliseconds time_since_last_message() const;
    /// Serves SyncMembers.
    void handle_sync(const std::vector<std::string>& theirs,
                     const peer_client::members_done& reply);

    /// Offset after the newest configuration record replayed here; peers are told when it grows.
    void set_config_next_offset(std::uint64_t next);
    /// Called with every message of a peer whose offset is higher.
    void on_config_hint(std::function<void(node_reference, std::uint64_t)> callback);
    /// Called when this node finds that it was paused for longer than the suspicion time.
    void on_resume(std::function<void()> callback);

    /// Any thread, after start.
    gossip_traffic traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace chestnutstand
