#include "chestnutstand/admission/concurrency_limit.h"

#include <algorithm>

namespace chestnutstand {
namespace {

// The mean of 32 exponentially distributed latencies has a relative standard deviation of about one
// sixth, so random variation very rarely doubles it. With 16 samples, the limit was below the slots
// for 5% of the time without any congestion.
constexpr std::uint32_t min_window_samples = 32;
// Rounds of as many samples as the limit.
constexpr std::uint32_t window_rounds = 4;
constexpr double congested_ratio = 2.0;
// The limit may grow below this ratio. Between this and congested_ratio it is kept, so that it does
// not oscillate.
constexpr double uncongested_ratio = 1.5;
constexpr double shed_decrease_factor = 0.7;
constexpr double latency_decrease_factor = 0.8;
// If halving the concurrency does not lower the latency by at least a quarter, the concurrency is
// not the cause of the latency, and a lower limit would only reduce the throughput.
constexpr double effective_decrease_ratio = 0.75;
// A baseline that falls much faster than it rises would settle below the mean of varying latencies.
constexpr double baseline_fall_gain = 0.1;
constexpr double baseline_rise_gain = 0.05;
// Each increase beyond the actual capacity of the upstream causes a shed request; the pause limits
// the rate of these.
constexpr milliseconds growth_pause_after_shed{1000};

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : slots_{std::max(1U, slots)}, limit_{slots_}
{
}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    slots = std::max(1U, slots);
    limit_ = limit_ == slots_ ? slots : std::min(limit_, slots);
    slots_ = slots;
}

void concurrency_limit::reset_baselines()
{
    classes_.clear();
    congestion_.reset();
    clear_window();
}

void concurrency_limit::observe(const observation& observed, time_point now)
{
    // The latency of a request that started before the last decrease reflects the previous limit.
    if (last_decrease_ && observed.started < *last_decrease_) {
        return;
    }
    switch (observed.sample.kind) {
    case sample_kind::uninformative:
        return;
    case sample_kind::shed:
        last_shed_ = now;
        decrease(shed_decrease_factor, now);
        return;
    case sample_kind::completed:
    case sample_kind::timed_out:
        break;
    }
    if (classes_.size() <= observed.priority) {
        classes_.resize(observed.priority + 1);
    }
    auto& window = classes_[observed.priority];
    window.latency_sum_ms += observed.sample.latency.count();
    ++window.count;
    ++window_count_;
    window_peak_ = std::max(window_peak_, observed.in_flight);
    if (window_count_ >= window_size()) {
        close_window(now);
    }
    else {
        grow_early(now);
    }
}

/// Raises a lowered limit by one after a few rounds without congestion. After the upstream has
/// stopped shedding requests, filling a whole window takes so long at a low limit that the
/// admission queue would refuse nearly all requests meanwhile.
void concurrency_limit::grow_early(time_point now)
{
    if (limit_ >= slots_ || congestion_ || window_count_ < window_rounds * limit_ ||
        !may_grow(now) || latency_ratio() >= uncongested_ratio) {
        return;
    }
    update_baselines(false);
    clear_window();
    ++limit_;
}

/// Whether the limit was fully used in this window and the upstream has not shed requests recently.
bool concurrency_limit::may_grow(time_point now) const
{
    return window_peak_ >= limit_ && (!last_shed_ || now - *last_shed_ >= growth_pause_after_shed);
}

std::uint32_t concurrency_limit::window_size() const
{
    return std::max(min_window_samples, window_rounds * limit_);
}

void concurrency_limit::close_window(time_point now)
{
    const double ratio = latency_ratio();
    const bool congested = ratio > congested_ratio;
    const bool growing = may_grow(now);
    update_baselines(congested);
    clear_window();
    if (congested) {
        react_to_congestion(ratio, now);
        return;
    }
    if (ratio < uncongested_ratio) {
        congestion_.reset();
        if (growing) {
            limit_ = std::min(limit_ + 1, slots_);
        }
    }
}

/// Mean of latency / baseline over the samples of the window. The first window of a class sets its
/// baseline.
double concurrency_limit::latency_ratio()
{
    double sum = 0.0;
    for (auto& window : classes_) {
        if (window.count == 0) {
            continue;
        }
        if (window.baseline_ms <= 0.0) {
            window.baseline_ms = window.latency_sum_ms / window.count;
        }
        sum += window.baseline_ms > 0.0 ? window.latency_sum_ms / window.baseline_ms : window.count;
    }
    return sum / window_count_;
}

void concurrency_limit::update_baselines(bool congested)
{
    for (auto& window : classes_) {
        if (window.count == 0) {
            continue;
        }
        const double difference = window.latency_sum_ms / window.count - window.baseline_ms;
        const double confidence =
            std::min(1.0, window.count / static_cast<double>(min_window_samples));
        if (difference < 0.0) {
            window.baseline_ms += difference * baseline_fall_gain * confidence;
        }
        else if (!congested) {
            window.baseline_ms += difference * baseline_rise_gain * confidence;
        }
    }
}

void concurrency_limit::react_to_congestion(double ratio, time_point now)
{
    if (!congestion_) {
        congestion_ = congestion{limit_, ratio};
    }
    const bool halved = limit_ <= std::max(1U, congestion_->limit_before / 2);
    if (!halved) {
        decrease(latency_decrease_factor, now);
        return;
    }
    if (ratio <= effective_decrease_ratio * congestion_->ratio_before) {
        // Lowering the limit reduced the latency. The check repeats after the next halving.
        congestion_ = congestion{limit_, ratio};
        decrease(latency_decrease_factor, now);
        return;
    }
    // The latency does not depend on the limit, so the current latency becomes the baseline.
    for (auto& window : classes_) {
        window.baseline_ms *= ratio;
    }
    congestion_.reset();
}

void concurrency_limit::decrease(double factor, time_point now)
{
    const auto scaled = static_cast<std::uint32_t>(limit_ * factor);
    limit_ = std::max(1U, std::min(scaled, limit_ - 1));
    last_decrease_ = now;
    clear_window();
}

void concurrency_limit::clear_window()
{
    for (auto& window : classes_) {
        window.latency_sum_ms = 0.0;
        window.count = 0;
    }
    window_count_ = 0;
    window_peak_ = 0;
}

} // namespace chestnutstand
