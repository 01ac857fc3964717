#include "event_loop.h"

#include <utility>

namespace chestnutstand {

void event_loop::after(milliseconds delay, std::function<void()> work)
{
    events_.push({now_ + delay, next_sequence_++, std::move(work)});
}

void event_loop::run_until(time_point end)
{
    while (!events_.empty() && events_.top().due <= end) {
        event next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.due;
        next.work();
    }
    now_ = end;
}

} // namespace chestnutstand
