#include "chestnutstand/transport/memory_budget.h"

#include <algorithm>

namespace chestnutstand {
namespace {

constexpr double bytes_per_mib = 1'048'576.0;
/// Share of the memory limit for bodies. A body of 64 MiB fits into that of a machine of 160 MB;
/// the rest is for the process itself, the overshoot below, and buffers of the allocator.
constexpr double share_of_memory = 0.45;
/// For a process without a memory limit: eight bodies of the largest size.
constexpr std::size_t default_max_bytes = std::size_t{512} << 20U;
/// Share of the budget that is kept for small requests.
constexpr std::size_t small_reserve_divisor = 16;
/// Requests up to this size are small.
constexpr std::size_t small_bytes = std::size_t{64} << 10U;
/// Share of the budget by which it may be exceeded until holders that were told to end have given
/// their memory back, which they do on their own threads.
constexpr std::size_t overshoot_divisor = 8;
/// Holders below this size are not worth ending.
constexpr std::size_t min_ended_bytes = std::size_t{4} << 10U;
/// Progress of less than this many bytes in this time is none: slower than any link of a caller
/// within the limits (10 Mbit/s shared by 70 transfers), and fast enough that memory is free again
/// before callers give up.
constexpr std::size_t step_bytes = std::size_t{16} << 10U;
constexpr milliseconds stall_time{1'000};

bool is_stalled(const holder_progress& holder, time_point now)
{
    return holder.use != memory_use::waiting && now - holder.last_step >= stall_time;
}

request_size size_of(std::size_t bytes)
{
    return bytes > small_bytes ? request_size::large : request_size::small;
}

bool is_large_input(const holder_progress& holder)
{
    return holder.use != memory_use::sending && size_of(holder.bytes) == request_size::large;
}

/// Selects the holder that has held the most memory for the longest time without progress.
std::optional<std::size_t> choose_stalled(const std::vector<holder_progress>& holders,
                                          time_point now)
{
    std::optional<std::size_t> chosen;
    double most_idle_memory = 0.0;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const double idle_memory =
            static_cast<double>(holders[i].bytes) * (now - holders[i].last_step).count();
        if (is_stalled(holders[i], now) && (!chosen || idle_memory > most_idle_memory)) {
            chosen = i;
            most_idle_memory = idle_memory;
        }
    }
    return chosen;
}

/// Selects the holder for which the predicate is true and of whose request the least has arrived.
template <typename Predicate>
std::optional<std::size_t> choose_least_moved(const std::vector<holder_progress>& holders,
                                              Predicate may_give_way)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (may_give_way(holders[i]) && (!chosen || holders[i].moved < holders[*chosen].moved)) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace

memory_budget_limits memory_budget_limits_for(double memory_limit_mb)
{
    const std::size_t max_bytes =
        memory_limit_mb > 0.0
            ? static_cast<std::size_t>(memory_limit_mb * bytes_per_mib * share_of_memory)
            : default_max_bytes;
    return {max_bytes, max_bytes / small_reserve_divisor};
}

std::optional<std::size_t> choose_holder(const std::vector<holder_progress>& holders,
                                         request_size needed_for, time_point now)
{
    if (const auto stalled = choose_stalled(holders, now)) {
        return stalled;
    }
    const auto large = choose_least_moved(holders, is_large_input);
    if (large || needed_for == request_size::large) {
        return large;
    }
    const auto receiving = choose_least_moved(
        holders, [](const holder_progress& holder) { return holder.use == memory_use::receiving; });
    return receiving ? receiving : choose_least_moved(holders, [](const holder_progress& holder) {
        return holder.use == memory_use::waiting;
    });
}

memory_lease::~memory_lease()
{
    if (budget_ && bytes_ > 0) {
        budget_->release(bytes_);
    }
}

bool memory_lease::resize(std::size_t bytes, time_point now)
{
    if (!budget_ || bytes <= bytes_) {
        if (budget_) {
            budget_->release(bytes_ - bytes);
        }
        bytes_ = bytes;
        return true;
    }
    memory_budget::evictions ended;
    const bool grown = budget_->grow(bytes - bytes_, bytes, nullptr, now, ended);
    for (const auto& end : ended) {
        end();
    }
    if (grown) {
        bytes_ = bytes;
    }
    return grown;
}

bool memory_budget::admits(std::size_t announced, time_point now)
{
    const std::lock_guard lock{mutex_};
    const request_size size = size_of(announced);
    const std::size_t max = size == request_size::large ? largest_body() : limits_.max_bytes;
    const std::size_t kept = held_ - std::min(held_, ending_ + evictable_bytes(size, now));
    if (kept + announced <= max) {
        return true;
    }
    ++refusals_;
    return false;
}

memory_budget::statistics memory_budget::read() const
{
    const std::lock_guard lock{mutex_};
    return {held_, limits_.max_bytes, holders_ended_, refusals_};
}

std::size_t memory_budget::evictable_bytes(request_size needed_for, time_point now) const
{
    std::size_t bytes = 0;
    for (const memory_holder* holder : holders_) {
        const holder_progress state = holder->progress();
        const bool gives_way =
            is_stalled(state, now) || (needed_for == request_size::small && is_large_input(state));
        bytes += gives_way && !holder->told_to_end_ ? state.bytes : 0;
    }
    return bytes;
}

bool memory_budget::grow(std::size_t more, std::size_t total, memory_holder* requester,
                         time_point now, evictions& ended)
{
    const std::lock_guard lock{mutex_};
    if (requester != nullptr && requester->told_to_end_) {
        return false;
    }
    const request_size size = size_of(total);
    const bool is_small = size == request_size::small;
    const std::size_t max = is_small ? limits_.max_bytes : largest_body();
    const std::size_t overshoot = limits_.max_bytes / overshoot_divisor;
    while (held_ - std::min(held_, ending_) + more > max) {
        std::vector<memory_holder*> candidates;
        std::vector<holder_progress> states;
        for (memory_holder* holder : holders_) {
            if (holder != requester && !holder->told_to_end_) {
                candidates.push_back(holder);
                states.push_back(holder->progress());
            }
        }
        // Small requests do not give way before a larger one is ended.
        if (requester != nullptr && !is_small) {
            candidates.push_back(requester);
            states.push_back(requester->registered_
                                 ? requester->progress()
                                 : holder_progress{total, memory_use::receiving, now, total});
            // What it would hold decides whether its input is large.
            states.back().bytes = total;
        }
        const auto chosen = choose_holder(states, size, now);
        if (!chosen || candidates[*chosen] == requester) {
            ++refusals_;
            return false;
        }
        memory_holder& victim = *candidates[*chosen];
        victim.told_to_end_ = states[*chosen].use;
        victim.counted_as_ending_ = victim.input_ + victim.output_;
        ending_ += victim.counted_as_ending_;
        ++holders_ended_;
        ended.push_back(victim.end_);
    }
    if (held_ + more > max + overshoot) {
        ++refusals_;
        return false;
    }
    held_ += more;
    return true;
}

void memory_budget::release(std::size_t bytes)
{
    const std::lock_guard lock{mutex_};
    held_ -= bytes;
}

memory_holder::~memory_holder()
{
    if (!budget_) {
        return;
    }
    const std::lock_guard lock{budget_->mutex_};
    budget_->held_ -= input_;
    budget_->ending_ -= counted_as_ending_;
    budget_->holders_.erase(this);
}

holder_progress memory_holder::progress() const
{
    const memory_use use = output_ > 0 ? memory_use::sending
                           : waiting_  ? memory_use::waiting
                                       : memory_use::receiving;
    return {input_ + output_, use, last_step_, moved_};
}

void memory_holder::clear_end()
{
    budget_->ending_ -= std::exchange(counted_as_ending_, 0);
    told_to_end_.reset();
}

std::optional<memory_use> memory_holder::told_to_end() const
{
    if (!budget_) {
        return std::nullopt;
    }
    const std::lock_guard lock{budget_->mutex_};
    return told_to_end_;
}

bool memory_holder::resize(std::size_t bytes, time_point now)
{
    if (!budget_) {
        return true;
    }
    memory_budget::evictions ended;
    bool grown = true;
    if (bytes > input_) {
        grown = budget_->grow(bytes - input_, bytes, this, now, ended);
        for (const auto& end : ended) {
            end();
        }
    }
    const std::lock_guard lock{budget_->mutex_};
    if (!grown) {
        return false;
    }
    if (bytes < input_) {
        budget_->held_ -= input_ - bytes;
    }
    input_ = bytes;
    if (input_ == 0 && told_to_end_ && *told_to_end_ != memory_use::sending) {
        // A response that the holder has begun to send since then is not what it was told to end.
        clear_end();
    }
    update_registration(now);
    return true;
}

void memory_holder::set_waiting(bool waiting, time_point now)
{
    // Only the owner of the holder writes the member, so that it may read it without the lock.
    if (!budget_ || waiting_ == waiting) {
        return;
    }
    const std::lock_guard lock{budget_->mutex_};
    waiting_ = waiting;
    if (!waiting) {
        // The client could not make progress while it waited.
        last_step_ = now;
        moved_in_step_ = 0;
    }
}

memory_lease memory_holder::take(std::size_t bytes)
{
    if (!budget_ || bytes == 0) {
        return {};
    }
    const std::lock_guard lock{budget_->mutex_};
    const std::size_t taken = std::min(bytes, input_);
    input_ -= taken;
    update_registration(last_step_);
    return {budget_, taken};
}

void memory_holder::set_output(std::size_t bytes, time_point now)
{
    if (!budget_) {
        return;
    }
    const std::lock_guard lock{budget_->mutex_};
    output_ = bytes;
    update_registration(now);
}

void memory_holder::note_progress(std::size_t bytes, time_point now)
{
    if (!budget_) {
        return;
    }
    const std::lock_guard lock{budget_->mutex_};
    moved_ += bytes;
    moved_in_step_ += bytes;
    if (moved_in_step_ >= step_bytes) {
        moved_in_step_ = 0;
        last_step_ = now;
    }
}

void memory_holder::update_registration(time_point now)
{
    // Most requests are small and never enter the list.
    const bool holds = input_ + output_ >= min_ended_bytes;
    if (!holds) {
        clear_end();
    }
    if (holds == registered_) {
        return;
    }
    registered_ = holds;
    if (holds) {
        budget_->holders_.insert(this);
        last_step_ = now;
        moved_ = input_;
        moved_in_step_ = 0;
    }
    else {
        budget_->holders_.erase(this);
    }
}

} // namespace chestnutstand
