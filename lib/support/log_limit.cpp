#include "chestnutstand/support/log_limit.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

std::optional<std::uint64_t> log_limit::admit(std::string_view kind, time_point now)
{
    auto found = buckets_.find(kind);
    if (found == buckets_.end()) {
        found = buckets_.emplace(std::string{kind}, bucket{burst_, now, 0}).first;
    }
    bucket& kind_bucket = found->second;
    if (now > kind_bucket.refilled) {
        const double refill = (now - kind_bucket.refilled).count() / 1000.0 * lines_per_s_;
        kind_bucket.tokens = std::min(burst_, kind_bucket.tokens + refill);
        kind_bucket.refilled = now;
    }
    if (kind_bucket.tokens < 1.0) {
        ++kind_bucket.suppressed;
        return std::nullopt;
    }
    kind_bucket.tokens -= 1.0;
    return std::exchange(kind_bucket.suppressed, 0);
}

} // namespace chestnutstand
