#pragma once

#include "chestnutstand/membership/member.h"
#include "chestnutstand/routing/balancing_policy.h"
#include "chestnutstand/routing/outlier_detector.h"
#include "chestnutstand/routing/peer_load.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// A member of a service together with its load as known to this node.
struct peer {
    node_reference node;
    std::string data_centre;
    time_point appeared_at;
    peer_load load;
    /// Set while a probe is in progress.
    std::atomic<bool> probing{false};
    /// Time of the next probe after a failed one; reset by a successful one. Only used by the
    /// selector that owns the entry.
    std::optional<time_point> next_probe_at;
};

using peer_list = std::vector<std::shared_ptr<peer>>;

/// Members of one service according to the routing table. Not safe for concurrent use, except for
/// the load of the peers.
class service_peers {
public:
    /// Replaces the members of the service; entries of members that remain are kept.
    void update(const std::vector<member>& members, time_point now);

    const peer_list& all() const { return peers_; }
    outlier_detector& outliers() { return outliers_; }
    const outlier_detector& outliers() const { return outliers_; }

    std::shared_ptr<peer> find(std::uint64_t instance) const;

    /// Whether the member should only get a call if no other can.
    bool is_avoided(const peer& entry, time_point now) const;

    /// Members that may get a call now, except the excluded instances. A member whose share of
    /// traffic is reduced is included at random with a probability of that share. When all members
    /// are avoided, they are all returned: a call that may fail is better than one that is certain
    /// to fail.
    peer_list eligible(const std::vector<std::uint64_t>& excluded, time_point now,
                       random_generator& random) const;

private:
    double share(const peer& entry, time_point now) const;

    peer_list peers_;
    outlier_detector outliers_;
};

} // namespace chestnutstand
