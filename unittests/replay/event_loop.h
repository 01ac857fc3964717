#pragma once

#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace chestnutstand {

/// Deterministic event loop in simulated time. Events that are due at the same time run in the
/// order in which they were added.
class event_loop {
public:
    time_point now() const { return now_; }
    /// Runs the work once the delay has passed.
    void after(milliseconds delay, std::function<void()> work);
    void run_until(time_point end);

private:
    struct event {
        time_point due;
        std::uint64_t sequence;
        std::function<void()> work;
        bool operator>(const event& other) const
        {
            return due != other.due ? due > other.due : sequence > other.sequence;
        }
    };

    time_point now_{milliseconds{1'000'000}};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

} // namespace chestnutstand
