#include "chestnutstand/routing/recent_quantile.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chestnutstand {
namespace {

constexpr double first_bin_ms = 0.05;
constexpr double bin_growth = 1.15;
constexpr milliseconds rotation_period{5'000};

/// With fewer samples the 95th percentile depends on a single call.
constexpr std::uint32_t min_samples = 40;

} // namespace

void recent_quantile::record(milliseconds latency, time_point now)
{
    advance_window(now);
    ++current_[bin_of(latency)];
}

std::optional<milliseconds> recent_quantile::value(double quantile, time_point now) const
{
    const bool expired = now - rotated_at_ >= 2 * rotation_period;
    const std::uint32_t total = std::accumulate(current_.begin(), current_.end(), 0U) +
                                std::accumulate(previous_.begin(), previous_.end(), 0U);
    if (expired || total < min_samples) {
        return std::nullopt;
    }
    const double target_count = quantile * total;
    double cumulative_count = 0.0;
    std::size_t bin = 0;
    for (; bin + 1 < bin_count; ++bin) {
        cumulative_count += current_[bin] + previous_[bin];
        if (cumulative_count >= target_count) {
            break;
        }
    }
    return milliseconds{first_bin_ms * std::pow(bin_growth, static_cast<double>(bin + 1))};
}

std::size_t recent_quantile::bin_of(milliseconds latency)
{
    const double position = std::log(latency.count() / first_bin_ms) / std::log(bin_growth);
    if (!(position > 0.0)) {
        return 0;
    }
    return std::min(bin_count - 1, static_cast<std::size_t>(position));
}

void recent_quantile::advance_window(time_point now)
{
    const milliseconds age = now - rotated_at_;
    if (age < rotation_period) {
        return;
    }
    previous_ = age < 2 * rotation_period ? current_ : bins{};
    current_.fill(0);
    rotated_at_ = now;
}

} // namespace chestnutstand
