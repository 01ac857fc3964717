#pragma once

#include "chestnutstand/support/clock.h"

namespace chestnutstand {

/// Delay after which a refused caller should retry. It is short enough for the retry to be served
/// within the latency target, which counts from the first attempt, and long enough for the queues,
/// which turn over several times within a target, to have changed. The delay grows with the spread,
/// a number in [0, 1), from a quarter to a half of the target; callers that get different values do
/// not retry all at once, which would form a new burst.
///
/// It is made for a burst that fills the queues for longer than a latency target. A retry after a
/// longer delay is as likely to be refused again and is served late if admitted.
inline milliseconds retry_delay(milliseconds latency_target, double spread)
{
    constexpr double min_target_fraction = 0.25;
    constexpr double max_target_fraction = 0.5;
    return latency_target *
           (min_target_fraction + (max_target_fraction - min_target_fraction) * spread);
}

} // namespace chestnutstand
