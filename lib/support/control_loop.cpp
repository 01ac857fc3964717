#include "chestnutstand/support/control_loop.h"

#include <utility>

namespace chestnutstand {

control_loop::control_loop() : thread_{[this] { run(); }} {}

control_loop::~control_loop()
{
    stop();
}

void control_loop::post(task work)
{
    post_after(milliseconds{0}, std::move(work));
}

void control_loop::post_after(milliseconds delay, task work)
{
    bool is_next = false;
    {
        const std::lock_guard lock{mutex_};
        const time_point due = ms_clock::now() + delay;
        is_next = tasks_.empty() || due < tasks_.top().due;
        tasks_.push({due, next_sequence_++, std::move(work)});
    }
    // The thread needs to wake up earlier only if the new task is the next one due.
    if (is_next) {
        wake_.notify_one();
    }
}

void control_loop::repeat(milliseconds period, task work)
{
    post_after(period, [this, period, work = std::move(work)]() mutable {
        work();
        repeat(period, std::move(work));
    });
}

void control_loop::stop()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable() && !on_control_thread()) {
        thread_.join();
    }
}

void control_loop::run()
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        if (tasks_.empty()) {
            wake_.wait(lock);
            continue;
        }
        const milliseconds delay = tasks_.top().due - ms_clock::now();
        if (delay > milliseconds{0}) {
            wake_.wait_for(lock, std::chrono::duration_cast<std::chrono::microseconds>(delay) +
                                     std::chrono::microseconds{1});
            continue;
        }
        task work = std::move(const_cast<timed_task&>(tasks_.top()).work);
        tasks_.pop();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
}

} // namespace chestnutstand
