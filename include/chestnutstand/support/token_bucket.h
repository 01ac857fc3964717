#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

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

    /// Takes whole tokens, at most as many as wanted; returns their number.
    std::uint32_t take_up_to(std::uint32_t wanted, time_point now)
    {
        refill(now);
        const auto taken = static_cast<std::uint32_t>(
            std::min(static_cast<double>(wanted), std::max(0.0, std::floor(tokens_))));
        tokens_ -= taken;
        return taken;
    }

    /// Whether the bucket holds all tokens that can be saved.
    bool full(time_point now) const
    {
        const double refilled = std::max(0.0, (now - refilled_).count() * rate_per_ms_);
        return tokens_ + refilled >= burst_;
    }

    /// Adds tokens, as far as they can be saved. A negative number delays the next token.
    void add(double tokens, time_point now)
    {
        refill(now);
        tokens_ = std::min(burst_, tokens_ + tokens);
    }

    /// Time until the bucket would hold this many tokens if its size were not limited. The rate
    /// must not be 0.
    milliseconds time_until(double tokens, time_point now)
    {
        refill(now);
        return milliseconds{std::max(0.0, (tokens - tokens_) / rate_per_ms_)};
    }

    void set_rate(double tokens_per_second, time_point now)
    {
        refill(now);
        rate_per_ms_ = tokens_per_second / 1000.0;
    }

    /// Sets the most tokens that can be saved; those above it are lost.
    void set_burst(double burst, time_point now)
    {
        refill(now);
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
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
