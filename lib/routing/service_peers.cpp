#include "chestnutstand/routing/service_peers.h"

#include "chestnutstand/routing/slow_start.h"

#include <algorithm>
#include <random>
#include <utility>

namespace chestnutstand {

void service_peers::update(const std::vector<member>& members, time_point now)
{
    peer_list next;
    std::vector<std::uint64_t> instances;
    next.reserve(members.size());
    for (const member& known : members) {
        if (known.draining || known.state == liveness::dead || known.state == liveness::left) {
            continue;
        }
        std::shared_ptr<peer> entry = find(known.node.instance);
        if (!entry) {
            entry = std::make_shared<peer>();
            entry->node = known.node;
            entry->data_centre = known.data_centre;
            entry->appeared_at = now;
        }
        instances.push_back(known.node.instance);
        next.push_back(std::move(entry));
    }
    outliers_.set_members(instances);
    peers_ = std::move(next);
}

std::shared_ptr<peer> service_peers::find(std::uint64_t instance) const
{
    const auto found = std::find_if(peers_.begin(), peers_.end(), [instance](const auto& entry) {
        return entry->node.instance == instance;
    });
    return found == peers_.end() ? nullptr : *found;
}

bool service_peers::avoided(const peer& entry, time_point now) const
{
    return entry.load.avoided(now) || outliers_.share(entry.node.instance, now) <= 0.0;
}

peer_list service_peers::eligible(const std::vector<std::uint64_t>& left_out, time_point now,
                                  random_generator& random) const
{
    peer_list wanted;
    peer_list avoided_ones;
    double largest = 0.0;
    for (const std::shared_ptr<peer>& entry : peers_) {
        const std::uint64_t instance = entry->node.instance;
        if (std::find(left_out.begin(), left_out.end(), instance) != left_out.end()) {
            continue;
        }
        if (avoided(*entry, now)) {
            avoided_ones.push_back(entry);
            continue;
        }
        largest = std::max(largest, share(*entry, now));
        wanted.push_back(entry);
    }
    if (wanted.empty()) {
        return avoided_ones;
    }
    // Relative to the largest share: when all members are new, all get traffic at once.
    const auto last =
        std::remove_if(wanted.begin(), wanted.end(), [&](const std::shared_ptr<peer>& entry) {
            const double relative = share(*entry, now) / largest;
            return relative < 1.0 && std::uniform_real_distribution<double>{}(random) >= relative;
        });
    wanted.erase(last, wanted.end());
    return wanted;
}

double service_peers::share(const peer& entry, time_point now) const
{
    return new_member_start.share(now - entry.appeared_at) *
           outliers_.share(entry.node.instance, now);
}

} // namespace chestnutstand
