#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/token_bucket.h"

namespace chestnutstand {

/// Permits for requests that only measure an upstream: a rate without a burst, empty at start, and
/// one at a time. It takes nothing but the time, so that neither queues nor failures can raise the
/// rate. Pure.
class probe_budget {
public:
    probe_budget(double probes_per_s, time_point now) : tokens_{probes_per_s, burst, now} {}

    /// Whether a probe may be sent now; if so it counts as sent and running.
    bool try_begin(time_point now)
    {
        if (running_ || !tokens_.try_take(now)) {
            return false;
        }
        running_ = true;
        return true;
    }

    /// The running probe has ended, in whatever way.
    void end() { running_ = false; }

    void set_rate(double probes_per_s, time_point now) { tokens_.set_rate(probes_per_s, now); }

private:
    static constexpr double burst = 1.0;

    token_bucket tokens_;
    bool running_ = false;
};

} // namespace chestnutstand
