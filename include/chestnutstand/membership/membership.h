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
#include <set>
#include <string>
#include <vector>

namespace chestnutstand {

struct membership_options {
    /// Instance, address, ports and data centre of this node.
    member self;
    /// Address that the gossip socket is bound to; empty for the address of self.
    std::string bind_address;
    std::vector<seed_address> seeds;
    /// Result of cluster_id().
    std::uint64_t cluster = 0;
    std::uint64_t random_seed = 0;
};

/// Membership of this node in the cluster: joins it, runs gossip and publishes the routing table.
/// Methods are called on the control thread unless noted otherwise. The control loop and the
/// clients must outlive the object.
class membership {
public:
    membership(membership_options options, control_loop& loop,
               std::shared_ptr<member_directory> directory, peer_client& peers);
    /// Uses the members stream of the log as member directory.
    membership(membership_options options, control_loop& loop, log_client& log, peer_client& peers);
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;
    /// Any thread.
    ~membership();

    /// Binds the UDP socket (for port 0 the kernel assigns one) and starts to join the cluster.
    /// Called once, on any thread.
    absl::Status start();
    /// The port that the gossip socket is bound to. Any thread, after start.
    std::uint16_t gossip_port() const;

    /// Announces the upstream of this node; an empty service means that none is registered.
    void set_local_upstream(const std::string& service, std::uint32_t slots);
    /// Announces that this node accepts no new calls.
    void set_draining();
    /// Announces to some peers, without retries, that this node leaves, and stops gossip.
    void leave();

    /// Members that may receive calls, including this node. Any thread; never null.
    const snapshot<routing_table>& table() const;
    /// All known members, starting with this node.
    std::vector<member> members() const;
    /// Time since the last gossip message of another member, or since the start if there was none.
    milliseconds time_since_last_message() const;
    /// Number of addresses in the member directory, as last read.
    std::size_t recorded_addresses() const;
    /// Handles a SyncMembers request.
    void handle_sync(const std::vector<std::string>& request,
                     const peer_client::members_done& reply);

    /// Sets the offset after the newest configuration record that this node has replayed. Peers are
    /// notified when it increases.
    void set_config_next_offset(std::uint64_t next);

    /// Sets the digest that peers compare with theirs, and the callback for peers with another one.
    void set_evacuation_digest(std::uint64_t digest);
    void on_evacuation_hint(std::function<void(node_reference, std::uint64_t)> callback);

    /// Leaves the members in these data centres out of the routing table.
    void set_evacuated(std::set<std::string> data_centres);

    /// Writes this node's record to the member directory again if the directory may have lost it,
    /// because it has come back from an older copy of itself.
    void restore_record();
    /// Sets the callback for messages of peers that have replayed more configuration records; its
    /// arguments are the peer and the peer's offset.
    void on_config_hint(std::function<void(node_reference, std::uint64_t)> callback);
    /// Sets the callback for a pause of this process longer than the suspicion timeout.
    void on_resume(std::function<void()> callback);

    /// Any thread, after start.
    gossip_traffic traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace chestnutstand
