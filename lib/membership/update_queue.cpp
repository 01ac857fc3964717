#include "chestnutstand/membership/update_queue.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace chestnutstand {

namespace {

// Members offered per update that may be sent; more would not fit into a packet.
constexpr std::size_t candidate_factor = 2;

} // namespace

void update_queue::add(std::uint64_t instance, bool urgent)
{
    entry& queued = entries_[instance];
    queued = {0, ++next_order_, urgent || (queued.urgent && queued.sent == 0)};
}

void update_queue::send_next(std::size_t transmit_limit, std::size_t max_sent,
                             std::size_t non_urgent_limit,
                             const std::function<bool(std::uint64_t)>& try_send)
{
    struct candidate {
        bool not_urgent;
        std::size_t sent;
        std::uint64_t age;
        std::uint64_t instance;
        auto key() const { return std::tie(not_urgent, sent, age); }
    };
    std::vector<candidate> candidates;
    candidates.reserve(entries_.size());
    for (const auto& [instance, queued] : entries_) {
        if (!queued.urgent && queued.sent >= non_urgent_limit) {
            continue;
        }
        candidates.push_back({!queued.urgent, queued.sent, next_order_ - queued.order, instance});
    }
    const std::size_t wanted = std::min(candidates.size(), max_sent * candidate_factor);
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::partial_sort(candidates.begin(), middle, candidates.end(),
                      [](const auto& a, const auto& b) { return a.key() < b.key(); });
    candidates.resize(wanted);
    std::size_t sent = 0;
    for (const candidate& next : candidates) {
        if (sent == max_sent) {
            return;
        }
        if (try_send(next.instance)) {
            ++sent;
            mark_sent(next.instance, transmit_limit);
        }
    }
}

void update_queue::mark_sent(std::uint64_t instance, std::size_t transmit_limit)
{
    const auto found = entries_.find(instance);
    if (++found->second.sent >= transmit_limit) {
        entries_.erase(found);
    }
}

} // namespace chestnutstand
