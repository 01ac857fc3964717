#pragma once

#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Token bucket rate limit for each kind of log message, so that a frequent message neither takes
/// much processor time nor displaces other messages. Not thread-safe.
class log_limit {
public:
    log_limit(double lines_per_s, double burst) : lines_per_s_{lines_per_s}, burst_{burst} {}

    /// Decides whether to write a line of this kind. Returns the number of lines of the kind that
    /// were suppressed since the last written one, or nullopt when this line must be suppressed.
    std::optional<std::uint64_t> admit(std::string_view kind, time_point now);

private:
    struct bucket {
        double tokens = 0.0;
        time_point refilled;
        std::uint64_t suppressed = 0;
    };

    const double lines_per_s_;
    const double burst_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace chestnutstand
