#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Cancellation signal of a call, shared by everything that works on it. Thread-safe.
class cancellation {
public:
    using listener = std::function<void()>;

    /// Runs the listener on cancellation, in the thread that cancels; runs it at once in the
    /// calling thread when the call is already cancelled.
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

    /// Idempotent.
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
