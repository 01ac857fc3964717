#pragma once

#include "chestnutstand/support/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chestnutstand {

/// Histogram of the latencies of the last 5 to 10 s that estimates quantiles with an error of up to
/// 15%. Not safe for concurrent use.
class recent_quantile {
public:
    void record(milliseconds latency, time_point now);

    /// Upper bound of the bin that contains the quantile; empty while there are too few samples.
    std::optional<milliseconds> value(double quantile, time_point now) const;

private:
    /// The first bin ends at 0.0575 ms, each further bound is 15% higher, and the last bin starts
    /// at about 13 s.
    static constexpr std::size_t bin_count = 90;
    using bins = std::array<std::uint32_t, bin_count>;

    static std::size_t bin_of(milliseconds latency);
    void advance_window(time_point now);

    bins current_{};
    bins previous_{};
    time_point rotated_at_{};
};

} // namespace chestnutstand
