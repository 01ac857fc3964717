#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Tells everybody who works on a call that its result is no longer wanted.
class cancellation {
public:
    using listener = std::function<void()>;

    /// Runs the listener on cancellation, at once if that has already happened.
    void on_cancel(listener notify)
    {
        {
            const std::lock_guard lock{mutex_};
            if (!cancelled_) {
                listeners_.push_back(std::move(notify));
                return;
            }
        }
        notify();
    }

    /// Idempotent; callable from any thread.
    void cancel()
    {
        std::vector<listener> listeners;
        {
            const std::lock_guard lock{mutex_};
            cancelled_ = true;
            listeners.swap(listeners_);
        }
        for (const auto& notify : listeners) {
            notify();
        }
    }

    bool cancelled() const
    {
        const std::lock_guard lock{mutex_};
        return cancelled_;
    }

private:
    mutable std::mutex mutex_;
    bool cancelled_ = false;
    std::vector<listener> listeners_;
};

} // namespace chestnutstand
