#include "chestnutstand/admission/rate_limit.h"

#include <algorithm>

namespace chestnutstand {
namespace {

/// An upstream that takes no requests sends no responses either, and could not lift its limit.
constexpr double min_per_second = 0.5;

/// Time whose tokens are saved for a burst, so that a pause does not lower the rate of the seconds
/// around it. In 4 s, an upstream gets at most 1.25 times its limit.
constexpr double burst_s = 1.0;

double burst_of(double per_second)
{
    return std::max(1.0, per_second * burst_s);
}

} // namespace

void rate_limit::set(std::optional<double> per_second, time_point now)
{
    if (!per_second) {
        per_second_.reset();
        tokens_.reset();
        return;
    }
    const double limit = std::max(*per_second, min_per_second);
    if (limit == per_second_) {
        return;
    }
    per_second_ = limit;
    if (!tokens_) {
        tokens_.emplace(limit, burst_of(limit), now);
        return;
    }
    tokens_->set_rate(limit, now);
    tokens_->set_burst(burst_of(limit), now);
}

bool rate_limit::allows(time_point now) const
{
    return wait_for(1.0, now) <= milliseconds{0};
}

bool rate_limit::try_take(time_point now)
{
    return !tokens_ || tokens_->try_take(now);
}

milliseconds rate_limit::wait_for(double requests, time_point now) const
{
    return tokens_ ? tokens_->time_until(requests, now) : milliseconds{0};
}

} // namespace chestnutstand
