#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace chestnutstand {

class memory_budget;
class memory_holder;

struct memory_budget_limits {
    std::size_t max_bytes = 0;
    /// Part of max_bytes that only small requests may use, so that large ones cannot keep them out.
    std::size_t small_reserve = 0;
};

/// Limits for a process that may use the given memory; 0 for a process without a limit.
memory_budget_limits memory_budget_limits_for(double memory_limit_mb);

/// Bytes that were acquired from a budget. They are given back on destruction.
class memory_lease {
public:
    memory_lease() = default;
    memory_lease(std::shared_ptr<memory_budget> budget, std::size_t bytes)
        : budget_{std::move(budget)}, bytes_{bytes}
    {
    }
    memory_lease(memory_lease&& other) noexcept
        : budget_{std::move(other.budget_)}, bytes_{std::exchange(other.bytes_, 0)}
    {
    }
    memory_lease& operator=(memory_lease&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease();

    std::size_t bytes() const { return bytes_; }

    /// Changes the size. Returns false, and keeps the old one, if the budget has no memory left.
    bool resize(std::size_t bytes, time_point now);

private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t bytes_ = 0;
};

/// What a holder does with the memory that it holds.
enum class memory_use : std::uint8_t {
    receiving, ///< A request is being received. It has not run and can be refused.
    waiting,   ///< The client waits for a response; what it has sent behind the request can be
               ///< dropped.
    sending,   ///< A response is being sent.
};

/// State of a holder that may be ended to free memory.
struct holder_progress {
    std::size_t bytes = 0;
    memory_use use = memory_use::receiving;
    /// When the holder last completed a step of progress, or began to hold memory.
    time_point last_step{};
    /// Bytes moved since it began to hold memory.
    std::size_t moved = 0;
};

/// Size of the request that needs memory.
enum class request_size : std::uint8_t { small, large };

/// Selects the holder that gives its memory back when a request needs it:
/// 1. the one that has held the most memory for the longest time without progress. A client that
///    waits for its response is not expected to make progress;
/// 2. the large input, of a request that has not run, of which the least has arrived;
/// 3. for a small request, the small input of which the least has arrived, of clients that wait for
///    no response before the others.
/// Responses that make progress are not ended: their calls have run. Returns nothing if no holder
/// can give way.
std::optional<std::size_t> choose_holder(const std::vector<holder_progress>& holders,
                                         request_size needed_for, time_point now);

/// Bytes that the process may hold for bodies and unfinished messages, on both hops and in both
/// directions. Does no I/O. Thread-safe.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
public:
    struct statistics {
        std::size_t held_bytes = 0;
        std::size_t max_bytes = 0;
        std::uint64_t holders_ended = 0;
        std::uint64_t refusals = 0;
    };

    explicit memory_budget(memory_budget_limits limits) : limits_{limits} {}

    /// Whether a body of the announced size can be expected to find memory: what is free, or held
    /// by those that give way to a new request, suffices.
    bool admits(std::size_t announced, time_point now);

    /// The largest body that the budget can ever hold.
    std::size_t largest_body() const { return limits_.max_bytes - limits_.small_reserve; }

    statistics read() const;

private:
    friend class memory_lease;
    friend class memory_holder;

    using evictions = std::vector<std::function<void()>>;

    /// Acquires more bytes for the requester, or for a lease if it is null. total is what the
    /// requester holds afterwards. Adds what must be called, without a lock, to end other holders.
    bool grow(std::size_t more, std::size_t total, memory_holder* requester, time_point now,
              evictions& ended);
    void release(std::size_t bytes);
    /// Bytes that would be free if all holders that give way to a new request of this size did.
    std::size_t evictable_bytes(request_size needed_for, time_point now) const;

    const memory_budget_limits limits_;
    mutable std::mutex mutex_;
    std::size_t held_ = 0;
    /// Bytes of holders that have been told to end and have not yet given them back.
    std::size_t ending_ = 0;
    std::unordered_set<memory_holder*> holders_;
    std::uint64_t holders_ended_ = 0;
    std::uint64_t refusals_ = 0;
};

/// Memory of one connection. The budget may end it, from any thread, in favour of others.
class memory_holder {
public:
    /// The budget may be null, in which case nothing is limited. end is called at most once, on any
    /// thread, and must not call this object.
    memory_holder(std::shared_ptr<memory_budget> budget, std::function<void()> end)
        : budget_{std::move(budget)}, end_{std::move(end)}
    {
    }
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;
    ~memory_holder();

    /// Changes what the connection holds for a request that is being received. Returns false if the
    /// memory is not available, or is needed by others; the request must then be refused.
    bool resize(std::size_t bytes, time_point now);

    /// What the holder did when the budget told it to give its memory back; nullopt if it has done
    /// so, or has not been told.
    std::optional<memory_use> told_to_end() const;

    /// Records whether the client waits for the response to a request that has been passed on.
    void set_waiting(bool waiting, time_point now);

    /// Moves a part of the bytes to a lease, which this holder is then no longer ended for.
    memory_lease take(std::size_t bytes);

    /// Records that bytes, held by a lease elsewhere, wait to be sent; 0 once they are sent.
    void set_output(std::size_t bytes, time_point now);

    /// Records that bytes have been received or sent.
    void note_progress(std::size_t bytes, time_point now);

private:
    friend class memory_budget;

    /// Called under the lock of the budget.
    holder_progress progress() const;
    /// Ends the state in which the holder was told to end, under the lock of the budget.
    void clear_end();

    /// Registers or removes this holder, under the lock of the budget.
    void update_registration(time_point now);

    std::shared_ptr<memory_budget> budget_;
    std::function<void()> end_;
    // Guarded by the mutex of the budget.
    std::size_t input_ = 0;
    std::size_t output_ = 0;
    bool registered_ = false;
    /// What was added to ending_ when this holder was told to end.
    std::size_t counted_as_ending_ = 0;
    std::optional<memory_use> told_to_end_;
    bool waiting_ = false;
    time_point last_step_{};
    std::size_t moved_ = 0;
    std::size_t moved_in_step_ = 0;
};

} // namespace chestnutstand
