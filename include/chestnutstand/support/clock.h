#pragma once

#include <chrono>

namespace chestnutstand {

/// Monotonic clock that counts milliseconds, with a fractional part for latencies below one.
struct ms_clock {
    using rep = double;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<ms_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        return time_point{std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch())};
    }
};

using milliseconds = ms_clock::duration;
using time_point = ms_clock::time_point;

} // namespace chestnutstand
