#pragma once

#include <chrono>
#include <ctime>

namespace chestnutstand {

/// Monotonic clock that counts milliseconds, with a fractional part for latencies below one. It
/// goes on while the machine is suspended, so that deadlines and leases are over after a long
/// suspension.
struct ms_clock {
    using rep = double;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<ms_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        std::timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point{duration{static_cast<double>(now.tv_sec) * 1e3 +
                                   static_cast<double>(now.tv_nsec) / 1e6}};
    }
};

using milliseconds = ms_clock::duration;
using time_point = ms_clock::time_point;

} // namespace chestnutstand
