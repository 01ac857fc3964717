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
    return now - holder.last_step >= stall_time;
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

std::optional<std::size_t> choose_least_progress(const std::vector<holder_progress>& holders,
                                                 time_point now)
{
    std::optional<std::size_t> stalled;
    double most_idle_memory = 0.0;
    std::optional<std::size_t> receiving;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const holder_progress& holder = holders[i];
        if (is_stalled(holder, now)) {
            const double idle_memory =
                static_cast<double>(holder.bytes) * (now - holder.last_step).count();
            if (!stalled || idle_memory > most_idle_memory) {
                stalled = i;
                most_idle_memory = idle_memory;
            }
        }
        else if (holder.use == memory_use::receiving &&
                 (!receiving || holder.moved < holders[*receiving].moved)) {
            receiving = i;
        }
    }
    return stalled ? stalled : receiving;
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
    const std::size_t max = announced > small_bytes ? largest_body() : limits_.max_bytes;
    const std::size_t kept = held_ - std::min(held_, ending_ + evictable_bytes(now));
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

std::size_t memory_budget::evictable_bytes(time_point now) const
{
    std::size_t bytes = 0;
    for (const memory_holder* holder : holders_) {
        const bool stalled = now - holder->last_step_ >= stall_time;
        bytes += stalled && !holder->told_to_end_ ? holder->input_ + holder->output_ : 0;
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
    const bool is_small = total <= small_bytes;
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
        }
        const auto chosen = choose_least_progress(states, now);
        if (!chosen || candidates[*chosen] == requester) {
            ++refusals_;
            return false;
        }
        memory_holder& victim = *candidates[*chosen];
        victim.told_to_end_ = true;
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
    return {input_ + output_, output_ > 0 ? memory_use::sending : memory_use::receiving, last_step_,
            moved_};
}

bool memory_holder::told_to_end() const
{
    if (!budget_) {
        return false;
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
    update_registration(now);
    return true;
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
        budget_->ending_ -= std::exchange(counted_as_ending_, 0);
        told_to_end_ = false;
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
