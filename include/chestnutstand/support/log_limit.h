#pragma once

#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Bounds the lines per second of each kind of message, so that a flood of one kind neither costs
/// much nor hides the others. Pure and not thread-safe.
class log_limit {
public:
    log_limit(double lines_per_s, double burst) : lines_per_s_{lines_per_s}, burst_{burst} {}

    /// Number of lines of the kind that were left out before this one; nothing when this line has
    /// to be left out as well.
    std::optional<std::uint64_t> admit(std::string_view kind, time_point now);

private:
    struct bucket {
        double lines = 0.0;
        time_point refilled;
        std::uint64_t left_out = 0;
    };

    const double lines_per_s_;
    const double burst_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace chestnutstand
