#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace chestnutstand {

/// Members whose state is still to be passed on, each a bounded number of times. Urgent ones go
/// first, then those that were sent the fewest times.
class update_queue {
public:
    /// Queues a member, or starts its count again when it is queued already.
    void add(std::uint64_t instance, bool urgent);

    /// Calls visit in order of precedence while it returns true for "sent"; an element that was
    /// sent limit times is dropped. Elements that do not fit are skipped; at most max_sent are
    /// sent, and of those that are not urgent only such as were sent fewer than recent times.
    void take(std::size_t limit, std::size_t max_sent, std::size_t recent,
              const std::function<bool(std::uint64_t)>& visit);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::size_t sent = 0;
        std::uint64_t order = 0;
        bool urgent = false;
    };

    void mark_sent(std::uint64_t instance, std::size_t limit);

    std::unordered_map<std::uint64_t, entry> entries_;
    std::uint64_t next_order_ = 0;
};

} // namespace chestnutstand
