#include "chestnutstand/routing/service_peers.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

void service_peers::update(const std::vector<member>& members)
{
    std::vector<std::shared_ptr<peer>> next;
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
        }
        next.push_back(std::move(entry));
    }
    peers_ = std::move(next);
}

std::shared_ptr<peer> service_peers::find(std::uint64_t instance) const
{
    const auto found = std::find_if(peers_.begin(), peers_.end(), [instance](const auto& entry) {
        return entry->node.instance == instance;
    });
    return found == peers_.end() ? nullptr : *found;
}

std::vector<std::shared_ptr<peer>>
service_peers::eligible(const std::vector<std::uint64_t>& left_out, time_point now) const
{
    std::vector<std::shared_ptr<peer>> wanted;
    std::vector<std::shared_ptr<peer>> avoided;
    for (const std::shared_ptr<peer>& entry : peers_) {
        const std::uint64_t instance = entry->node.instance;
        if (std::find(left_out.begin(), left_out.end(), instance) != left_out.end()) {
            continue;
        }
        (entry->load.avoided(now) ? avoided : wanted).push_back(entry);
    }
    return wanted.empty() ? avoided : wanted;
}

} // namespace chestnutstand
