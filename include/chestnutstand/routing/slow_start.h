#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>

namespace chestnutstand {

/// Share of traffic of an upstream that is new or has just been readmitted. Grows linearly from the
/// initial share to 1.
struct slow_start {
    milliseconds ramp{0};
    double initial_share = 0.1;

    double share(milliseconds age) const
    {
        if (age >= ramp) {
            return 1.0;
        }
        const double progress = std::max(0.0, age / ramp);
        return initial_share + (1.0 - initial_share) * progress;
    }
};

/// For new members: the caches and connection pools of a new upstream fill within seconds.
inline constexpr slow_start new_member_slow_start{milliseconds{10'000}, 0.1};

/// For members that are readmitted after an ejection: the first calls show whether they still fail.
inline constexpr slow_start readmission_slow_start{milliseconds{5'000}, 0.05};

} // namespace chestnutstand
