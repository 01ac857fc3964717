#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace chestnutstand {

/// Monotonic clock in milliseconds, with a fractional part for latencies below a millisecond. It
/// keeps running while the machine is suspended, so that deadlines and leases expire during a
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

/// Wall-clock time in milliseconds, to apply_checkpoint with timestamps of other processes on the
/// same VM.
inline std::uint64_t unix_now_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

using milliseconds = ms_clock::duration;
using time_point = ms_clock::time_point;

} // namespace chestnutstand
