#pragma once

#include "chestnutstand/support/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace chestnutstand {

/// The control thread: runs posted tasks and timers one at a time, in order of their due time.
class control_loop {
public:
    using task = std::function<void()>;

    control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop();

    /// Runs a task on the control thread as soon as possible. Callable from any thread.
    void post(task work);

    /// Runs a task on the control thread after a delay. Callable from any thread.
    void post_after(milliseconds delay, task work);

    /// Runs a task periodically, first after one period. Each further run is due one period after
    /// the previous run has ended. Callable from any thread.
    void repeat(milliseconds period, task work);

    /// Stops the thread and discards pending tasks. Idempotent. Waits for the thread to end, unless
    /// called on it.
    void stop();

    bool on_control_thread() const { return std::this_thread::get_id() == thread_.get_id(); }

private:
    struct timed_task {
        time_point due;
        std::uint64_t sequence;
        task work;
        bool operator>(const timed_task& other) const
        {
            return due != other.due ? due > other.due : sequence > other.sequence;
        }
    };

    void run();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::priority_queue<timed_task, std::vector<timed_task>, std::greater<>> tasks_;
    std::uint64_t next_sequence_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace chestnutstand
