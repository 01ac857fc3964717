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

/// A member of a service together with what this node knows of its load.
struct peer {
    node_reference node;
    std::string data_centre;
    time_point appeared_at;
    peer_load load;
    /// Set while a probe is under way.
    std::atomic<bool> probing{false};
    /// When to probe again after a probe that failed; nothing after one that was answered. Only
    /// used by the selector that owns the entry.
    std::optional<time_point> probe_again_at;
};

using peer_list = std::vector<std::shared_ptr<peer>>;

/// Members of one service, in step with the routing table. Not safe for concurrent use, except for
/// the load of the peers.
class service_peers {
public:
    /// Takes over the members of the service; what is known of those that stay is kept.
    void update(const std::vector<member>& members, time_point now);

    const peer_list& all() const { return peers_; }
    outlier_detector& outliers() { return outliers_; }
    const outlier_detector& outliers() const { return outliers_; }

    std::shared_ptr<peer> find(std::uint64_t instance) const;

    /// Whether the member should get no call now if there is any other.
    bool avoided(const peer& entry, time_point now) const;

    /// Members that may get a call now, without the instances to leave out. A member with a share
    /// below the others' appears only as often as its share says. When all are avoided, they are
    /// returned nevertheless: a call that may fail is better than one that does.
    peer_list eligible(const std::vector<std::uint64_t>& left_out, time_point now,
                       random_generator& random) const;

private:
    double share(const peer& entry, time_point now) const;

    peer_list peers_;
    outlier_detector outliers_;
};

} // namespace chestnutstand
