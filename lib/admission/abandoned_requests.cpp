#include "chestnutstand/admission/abandoned_requests.h"

#include <algorithm>

namespace chestnutstand {
namespace {

constexpr double usual_times_until_end = 2.0;
/// Also the time while no usual one is known.
constexpr milliseconds min_hold{100};
/// Bounds the time for which an upstream gets no calls when all of them time out.
constexpr milliseconds max_hold{1'000};

} // namespace

void abandoned_requests::add(time_point now, milliseconds usual_time)
{
    expire(now);
    const time_point end = now + std::clamp(usual_time * usual_times_until_end, min_hold, max_hold);
    ends_.insert(std::upper_bound(ends_.begin(), ends_.end(), end), end);
}

void abandoned_requests::observe(std::uint32_t held, std::uint32_t own, time_point now)
{
    expire(now);
    const std::size_t left = held > own ? held - own : 0;
    while (ends_.size() > left) {
        ends_.pop_front();
    }
}

std::uint32_t abandoned_requests::count(time_point now)
{
    expire(now);
    return static_cast<std::uint32_t>(ends_.size());
}

void abandoned_requests::expire(time_point now)
{
    while (!ends_.empty() && ends_.front() <= now) {
        ends_.pop_front();
    }
}

} // namespace chestnutstand
