#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/token_bucket.h"

namespace chestnutstand {

/// Rate limit for requests that only measure an upstream: a token bucket of one token that starts
/// empty, with at most one probe in flight. It depends on the time alone, so neither queue length
/// nor failures can raise the rate. Does no I/O and reads no clock. Not thread-safe.
class probe_budget {
public:
    probe_budget(double probes_per_s, time_point now) : tokens_{probes_per_s, burst_tokens, now} {}

    /// Begins a probe if one may be sent now; false otherwise.
    bool try_begin(time_point now)
    {
        if (in_flight_ || !tokens_.try_take(now)) {
            return false;
        }
        in_flight_ = true;
        return true;
    }

    /// Ends the probe in flight, whether it succeeded or failed.
    void end() { in_flight_ = false; }

    void set_rate(double probes_per_s, time_point now) { tokens_.set_rate(probes_per_s, now); }

private:
    static constexpr double burst_tokens = 1.0;

    token_bucket tokens_;
    bool in_flight_ = false;
};

} // namespace chestnutstand
