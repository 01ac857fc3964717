#pragma once

#include "chestnutstand/support/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chestnutstand {

/// Quantiles of the latencies of the last five to ten seconds, within 15%. Not safe for concurrent
/// use.
class recent_quantile {
public:
    void record(milliseconds latency, time_point now);

    /// The quantile, or empty while there are too few samples.
    std::optional<milliseconds> value(double quantile, time_point now) const;

private:
    /// Bins grow by 15% from 0.05 ms; the last one starts at about 13 s.
    static constexpr std::size_t bin_count = 90;
    using bins = std::array<std::uint32_t, bin_count>;

    static std::size_t bin_of(milliseconds latency);
    void rotate(time_point now);

    bins current_{};
    bins previous_{};
    time_point rotated_at_{};
};

} // namespace chestnutstand
