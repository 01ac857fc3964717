#include "chestnutstand/admission/upstream_slowdown.h"

#include <algorithm>

namespace chestnutstand {
namespace {

/// Below this factor, moving a call to another member costs more than it saves.
constexpr double slow_factor = 1.5;
/// factor() no longer uses an older report.
constexpr milliseconds max_report_age{1'000};
/// Age from which a report of a slow upstream is refreshed with a probe.
constexpr milliseconds refresh_after{60};
/// An older report is not fresh for work of any length: slow phases last some hundred milliseconds,
/// so one rarely begins within this time.
constexpr milliseconds max_fresh_age{50};
/// A younger report is fresh for work of any length: asking for another takes a few milliseconds.
constexpr milliseconds min_fresh_age{10};
/// Usual time between two slow phases, and the part of its usual time by which they lengthen work.
constexpr milliseconds time_between_slow_phases{500};
constexpr double lengthening = 4.0;
/// Expected loss of time through the age of a report that is accepted.
constexpr milliseconds tolerated_loss{25};
/// The usual factor is the lowest one of the current and the previous period of this length.
constexpr milliseconds baseline_period{2'000};
constexpr double min_reported_factor = 0.01;

} // namespace

void upstream_slowdown::observe(double factor, time_point now)
{
    factor = std::max(factor, min_reported_factor);
    if (!observed_at_) {
        lowest_factor_ = previous_lowest_factor_ = factor;
        period_start_ = now;
    }
    if (now - period_start_ >= baseline_period) {
        previous_lowest_factor_ = lowest_factor_;
        lowest_factor_ = factor;
        period_start_ = now;
    }
    lowest_factor_ = std::min(lowest_factor_, factor);
    last_factor_ = factor;
    observed_at_ = now;
}

double upstream_slowdown::usual_factor() const
{
    return std::min(lowest_factor_, previous_lowest_factor_);
}

double upstream_slowdown::factor(time_point now) const
{
    if (!observed_at_ || now - *observed_at_ > max_report_age) {
        return 1.0;
    }
    return last_factor_ / usual_factor();
}

bool upstream_slowdown::slow(time_point now) const
{
    return factor(now) >= slow_factor;
}

bool upstream_slowdown::has_fresh_report(milliseconds usual_time, time_point now) const
{
    if (!observed_at_) {
        return false;
    }
    const milliseconds loss_by_age = usual_time * lengthening;
    const milliseconds max_age =
        loss_by_age > milliseconds{0}
            ? std::clamp(time_between_slow_phases * (tolerated_loss / loss_by_age), min_fresh_age,
                         max_fresh_age)
            : max_fresh_age;
    return now - *observed_at_ < max_age;
}

bool upstream_slowdown::needs_refresh(time_point now) const
{
    return slow(now) && now - *observed_at_ >= refresh_after;
}

} // namespace chestnutstand
