#pragma once

#include "chestnutstand/support/clock.h"

#include <optional>

namespace chestnutstand {

/// How long work takes on the VM of an upstream at this moment, compared with its usual time.
///
/// Load pattern: neighbours on the same hardware that slow a VM down several times for some hundred
/// milliseconds. A request that starts then takes several times as long to its end, also when the
/// neighbours have become quiet meanwhile, so that the start is what has to be decided well.
///
/// The upstream reports a factor with its responses. It is compared with the lowest one of the last
/// seconds: a VM that is always slow is a matter of its measured latency. Pure.
class upstream_slowdown {
public:
    /// Takes a reported factor, 1 for the usual time.
    void observe(double factor, time_point now);

    /// Current factor relative to the usual one; 1 when nothing recent is known.
    double factor(time_point now) const;

    /// Whether work that starts now would take clearly longer than usual.
    bool slow(time_point now) const;

    /// Whether the last report still says something about this moment.
    bool has_recent_report(time_point now) const;

    /// Whether the upstream was slow when it was last heard of and that is a while ago.
    bool needs_refresh(time_point now) const;

private:
    double usual() const;

    double last_ = 1.0;
    std::optional<time_point> observed_at_;
    /// Lowest factors of the current and of the previous period.
    double lowest_ = 1.0;
    double previous_lowest_ = 1.0;
    time_point period_start_;
};

} // namespace chestnutstand
