#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace chestnutstand {

/// Queue of members whose state is disseminated by gossip, each a bounded number of times. Urgent
/// updates are sent first, then those with the fewest transmissions.
class update_queue {
public:
    /// Queues a member, or resets its transmission count if it is queued already.
    void add(std::uint64_t instance, bool urgent);

    /// Offers members to try_send in order of precedence until max_sent are sent. try_send returns
    /// whether it sent the update; one that does not fit is skipped and stays queued. A member is
    /// dropped after transmit_limit transmissions. Updates that are not urgent are offered only
    /// while they have been sent fewer than non_urgent_limit times.
    void send_next(std::size_t transmit_limit, std::size_t max_sent, std::size_t non_urgent_limit,
                   const std::function<bool(std::uint64_t)>& try_send);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::size_t sent = 0;
        std::uint64_t order = 0;
        bool urgent = false;
    };

    void mark_sent(std::uint64_t instance, std::size_t transmit_limit);

    std::unordered_map<std::uint64_t, entry> entries_;
    std::uint64_t next_order_ = 0;
};

} // namespace chestnutstand
