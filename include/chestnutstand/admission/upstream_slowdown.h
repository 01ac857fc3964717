#pragma once

#include "chestnutstand/support/clock.h"

#include <optional>

namespace chestnutstand {

/// Tracks the current service time on the VM of an upstream relative to its usual service time.
///
/// It is made for the case that other VMs on the same hardware slow a VM down by a factor of
/// several for some hundred milliseconds. A request that starts during such a phase takes several
/// times as long until its end, even if the phase ends meanwhile, so the decision that matters is
/// when to start it.
///
/// The upstream reports a factor with its responses. It is divided by the lowest factor of the last
/// few seconds, so that a VM that is permanently slow, or cold after its start, does not count as
/// slowed down; its measured latency accounts for that. Does no I/O and reads no
/// clock. Not thread-safe.
class upstream_slowdown {
public:
    /// Records a reported factor; 1 is the usual service time.
    void observe(double factor, time_point now);

    /// Last reported factor relative to the usual one; 1 if there was no report in the last second.
    double factor(time_point now) const;

    /// Whether a request that starts now would take much longer than usual.
    bool slow(time_point now) const;

    /// Whether the last report is recent enough to start work that usually takes this long. The
    /// longer the work, the more is lost if a slow phase has begun since the report. Zero stands
    /// for work of unknown length.
    bool has_fresh_report(milliseconds usual_time, time_point now) const;

    /// Whether the upstream was slow at its last report and that report is old enough to send a
    /// probe for a new one.
    bool needs_refresh(time_point now) const;

private:
    double usual_factor() const;

    double last_factor_ = 1.0;
    std::optional<time_point> observed_at_;
    /// Lowest factors of the current and of the previous baseline period.
    double lowest_factor_ = 1.0;
    double previous_lowest_factor_ = 1.0;
    time_point period_start_;
};

} // namespace chestnutstand
