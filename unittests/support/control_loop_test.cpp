#include "chestnutstand/support/control_loop.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace chestnutstand {
namespace {

// Guards against timers that run in the order of posting instead of by due time.
TEST(control_loop, runs_tasks_by_due_time)
{
    std::vector<int> order;
    std::promise<void> done;
    control_loop loop;
    loop.post([&] {
        loop.post_after(milliseconds{20}, [&] {
            order.push_back(2);
            done.set_value();
        });
        loop.post_after(milliseconds{5}, [&] { order.push_back(1); });
    });
    done.get_future().wait();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

// Guards against a deadlock when a task on the control thread stops the loop.
TEST(control_loop, stops_from_its_own_thread)
{
    std::promise<void> done;
    control_loop loop;
    loop.post([&] {
        loop.stop();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace
} // namespace chestnutstand
