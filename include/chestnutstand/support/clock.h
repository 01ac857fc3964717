#pragma once

#include <chrono>
#include <cstdint>
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

/// Time of day in milliseconds, for comparison with times that other processes on the VM state.
inline std::uint64_t unix_now_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

using milliseconds = ms_clock::duration;
using time_point = ms_clock::time_point;

} // namespace chestnutstand
