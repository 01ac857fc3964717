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
    bucket& of_kind = found->second;
    if (now > of_kind.refilled) {
        const double earned = (now - of_kind.refilled).count() / 1000.0 * lines_per_s_;
        of_kind.lines = std::min(burst_, of_kind.lines + earned);
        of_kind.refilled = now;
    }
    if (of_kind.lines < 1.0) {
        ++of_kind.left_out;
        return std::nullopt;
    }
    of_kind.lines -= 1.0;
    return std::exchange(of_kind.left_out, 0);
}

} // namespace chestnutstand
