#include "chestnutstand/admission/time_limit_profile.h"

#include <algorithm>
#include <cmath>

namespace chestnutstand {
namespace {

/// Requests after which all counts are halved, so that limits that are no longer used disappear.
constexpr std::uint32_t halving_interval = 256;
/// What is left of a time limit has a millisecond's resolution over some hundred milliseconds, so
/// that the same value seldom occurs several times between two halvings.
constexpr std::uint32_t min_frequent_count = 8;
/// A frequent limit also has at least one of this many recorded requests.
constexpr std::uint32_t frequent_share = 16;
constexpr std::size_t max_entries = 512;

} // namespace

milliseconds time_limit_profile::time_spent(milliseconds limit)
{
    const auto limit_ms = static_cast<std::int64_t>(std::llround(limit.count()));
    record(limit_ms);
    for (const entry& candidate : entries_) {
        if (candidate.limit_ms >= limit_ms && is_frequent(candidate)) {
            return milliseconds{static_cast<double>(candidate.limit_ms - limit_ms)};
        }
    }
    return milliseconds{0};
}

void time_limit_profile::record(std::int64_t limit_ms)
{
    if (++recorded_ >= halving_interval || entries_.size() >= max_entries) {
        recorded_ /= 2;
        for (entry& known : entries_) {
            known.count /= 2;
        }
        std::erase_if(entries_, [](const entry& known) { return known.count == 0; });
    }
    const auto at = std::lower_bound(
        entries_.begin(), entries_.end(), limit_ms,
        [](const entry& known, std::int64_t value) { return known.limit_ms < value; });
    if (at != entries_.end() && at->limit_ms == limit_ms) {
        ++at->count;
        return;
    }
    entries_.insert(at, {limit_ms, 1});
}

bool time_limit_profile::is_frequent(const entry& candidate) const
{
    return candidate.count >= min_frequent_count && candidate.count * frequent_share >= recorded_;
}

} // namespace chestnutstand
