#include "chestnutstand/admission/upstream_pace.h"

#include <algorithm>

namespace chestnutstand {
namespace {

/// Below this factor, placing a call elsewhere costs more than it saves.
constexpr double slow_factor = 1.5;
/// A report that is older says nothing about this moment.
constexpr milliseconds memory{1'000};
/// Age from which a report of a slow upstream is worth a request that only measures.
constexpr milliseconds refresh_after{60};
/// Slow phases last some hundred milliseconds, so that one rarely begins within this time.
constexpr milliseconds recent_report_age{50};
/// Time over which the lowest factor counts as the usual one.
constexpr milliseconds baseline_period{2'000};
constexpr double min_reported_factor = 0.01;

} // namespace

void upstream_slowdown::observe(double factor, time_point now)
{
    factor = std::max(factor, min_reported_factor);
    if (!observed_at_) {
        lowest_ = previous_lowest_ = factor;
        period_start_ = now;
    }
    if (now - period_start_ >= baseline_period) {
        previous_lowest_ = lowest_;
        lowest_ = factor;
        period_start_ = now;
    }
    lowest_ = std::min(lowest_, factor);
    last_ = factor;
    observed_at_ = now;
}

double upstream_slowdown::usual() const
{
    return std::min(lowest_, previous_lowest_);
}

double upstream_slowdown::factor(time_point now) const
{
    if (!observed_at_ || now - *observed_at_ > memory) {
        return 1.0;
    }
    return last_ / usual();
}

bool upstream_slowdown::slow(time_point now) const
{
    return factor(now) >= slow_factor;
}

bool upstream_slowdown::has_recent_report(time_point now) const
{
    return observed_at_ && now - *observed_at_ < recent_report_age;
}

bool upstream_slowdown::needs_refresh(time_point now) const
{
    return slow(now) && now - *observed_at_ >= refresh_after;
}

} // namespace chestnutstand
