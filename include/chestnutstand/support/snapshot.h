#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace chestnutstand {

/// Immutable state that one thread publishes and any thread reads.
template <typename T>
class snapshot {
public:
    /// The latest published state; null before the first publication.
    std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock{mutex_};
        return state_;
    }

    void store(std::shared_ptr<const T> state)
    {
        // The old state is destroyed outside the lock.
        std::lock_guard lock{mutex_};
        state_.swap(state);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> state_;
};

} // namespace chestnutstand
