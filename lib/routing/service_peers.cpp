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
    for (const member& listed : members) {
        if (listed.draining || listed.state == liveness::dead || listed.state == liveness::left) {
            continue;
        }
        std::shared_ptr<peer> entry = find(listed.node.instance);
        if (!entry) {
            entry = std::make_shared<peer>();
            entry->node = listed.node;
            entry->data_centre = listed.data_centre;
            entry->appeared_at = now;
        }
        instances.push_back(listed.node.instance);
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

bool service_peers::is_avoided(const peer& entry, time_point now) const
{
    return entry.load.is_avoided(now) || outliers_.share(entry.node.instance, now) <= 0.0;
}

peer_list service_peers::eligible(const std::vector<std::uint64_t>& excluded, time_point now,
                                  random_generator& random) const
{
    peer_list eligible_members;
    peer_list avoided_members;
    double max_share = 0.0;
    for (const std::shared_ptr<peer>& entry : peers_) {
        const std::uint64_t instance = entry->node.instance;
        if (std::find(excluded.begin(), excluded.end(), instance) != excluded.end()) {
            continue;
        }
        if (is_avoided(*entry, now)) {
            avoided_members.push_back(entry);
            continue;
        }
        max_share = std::max(max_share, share(*entry, now));
        eligible_members.push_back(entry);
    }
    if (eligible_members.empty()) {
        return avoided_members;
    }
    // Shares are relative to the largest one, so that all members get traffic when all are new.
    const auto last = std::remove_if(
        eligible_members.begin(), eligible_members.end(), [&](const std::shared_ptr<peer>& entry) {
            const double probability = share(*entry, now) / max_share;
            return probability < 1.0 &&
                   std::uniform_real_distribution<double>{}(random) >= probability;
        });
    eligible_members.erase(last, eligible_members.end());
    return eligible_members;
}

double service_peers::share(const peer& entry, time_point now) const
{
    return new_member_slow_start.share(now - entry.appeared_at) *
           outliers_.share(entry.node.instance, now);
}

} // namespace chestnutstand
