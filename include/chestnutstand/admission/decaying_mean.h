#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>
#include <cmath>

namespace chestnutstand {

/// Factor of an exponential decay over the elapsed time; 1 if that is negative.
inline double decay_factor(milliseconds elapsed, milliseconds half_life)
{
    return std::exp2(-std::max(0.0, elapsed / half_life));
}

/// Moving average whose confidence decays while no samples arrive. Otherwise a decision based on a
/// high mean, such as refusing all requests, could prevent the samples that would correct it.
class decaying_mean {
public:
    decaying_mean(double memory_samples, milliseconds half_life)
        : memory_samples_{memory_samples}, half_life_{half_life}
    {
    }

    void add(double value, time_point now)
    {
        weight_ = std::min(weight_ * decay_factor(now - last_, half_life_), memory_samples_ - 1.0);
        weight_ += 1.0;
        mean_ += (value - mean_) / weight_;
        last_ = now;
    }

    /// Mean of the last samples, regardless of their age.
    double mean() const { return mean_; }

    /// The mean, decaying towards zero with the time since the last sample; zero before the first
    /// sample.
    double optimistic_mean(time_point now) const
    {
        return mean_ * decay_factor(now - last_, half_life_);
    }

    /// Weighted average of the mean and the prior, which gains weight as the samples age; the prior
    /// before the first sample.
    double blended_mean(double prior, time_point now) const
    {
        const double confidence = std::min(1.0, weight_ * decay_factor(now - last_, half_life_));
        return mean_ * confidence + prior * (1.0 - confidence);
    }

private:
    double memory_samples_;
    milliseconds half_life_;
    double mean_ = 0.0;
    double weight_ = 0.0;
    time_point last_{};
};

/// Rate of events per millisecond, as an exponentially weighted average with the given half-life.
class decaying_rate {
public:
    explicit decaying_rate(milliseconds half_life) : half_life_{half_life} {}

    void add(time_point now)
    {
        events_ = events_ * decay_factor(now - last_, half_life_) + 1.0;
        last_ = std::max(last_, now);
    }

    double per_ms(time_point now) const
    {
        // At a constant rate of one event per millisecond, the weights of past events sum to
        // half_life / ln 2.
        constexpr double ln2 = 0.6931471805599453;
        return events_ * decay_factor(now - last_, half_life_) * ln2 / half_life_.count();
    }

private:
    milliseconds half_life_;
    double events_ = 0.0;
    time_point last_{};
};

} // namespace chestnutstand
