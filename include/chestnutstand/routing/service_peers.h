#pragma once

#include "chestnutstand/membership/member.h"
#include "chestnutstand/routing/balancing_policy.h"
#include "chestnutstand/routing/peer_load.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

/// A member of a service together with what this node knows of its load.
struct peer {
    node_reference node;
    std::string data_centre;
    peer_load load;
};

/// Members of one service, in step with the routing table. Not safe for concurrent use, except for
/// the load of the peers.
class service_peers {
public:
    /// Takes over the members of the service; what is known of those that stay is kept.
    void update(const std::vector<member>& members);

    const std::vector<std::shared_ptr<peer>>& all() const { return peers_; }

    std::shared_ptr<peer> find(std::uint64_t instance) const;

    /// Members that should get calls now, without those in the list of instances to leave out. When
    /// all of the others are avoided, they are returned nevertheless.
    std::vector<std::shared_ptr<peer>> eligible(const std::vector<std::uint64_t>& left_out,
                                                time_point now) const;

private:
    std::vector<std::shared_ptr<peer>> peers_;
};

} // namespace chestnutstand
