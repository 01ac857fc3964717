#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>

namespace chestnutstand {

/// Token bucket rate limiter. It starts empty, so that restarts of the process cannot raise the
/// rate. Not thread-safe.
class token_bucket {
public:
    token_bucket(double tokens_per_second, double burst, time_point now)
        : rate_per_ms_{tokens_per_second / 1000.0}, burst_{burst}, refilled_{now}
    {
    }

    /// Takes one token; returns false when less than one is left.
    bool try_take(time_point now)
    {
        refill(now);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    void set_rate(double tokens_per_second, time_point now)
    {
        refill(now);
        rate_per_ms_ = tokens_per_second / 1000.0;
    }

private:
    void refill(time_point now)
    {
        if (now <= refilled_) {
            return;
        }
        tokens_ = std::min(burst_, tokens_ + (now - refilled_).count() * rate_per_ms_);
        refilled_ = now;
    }

    double rate_per_ms_;
    double burst_;
    double tokens_ = 0.0;
    time_point refilled_;
};

} // namespace chestnutstand
