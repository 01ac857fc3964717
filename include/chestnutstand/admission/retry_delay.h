#pragma once

#include "chestnutstand/support/clock.h"

namespace chestnutstand {

/// Delay after which a refused caller should retry. It is short enough for the retry to be served
/// within the latency target, which counts from the first attempt, and long enough for the queues,
/// which turn over several times within a target, to have changed. The position in [0, 1) spreads
/// the retries of different callers.
///
/// Load pattern: a burst that fills the queues for longer than a latency target. A later retry is
/// as likely to be refused again and is served late if admitted. Callers that all retry at once
/// would form a new burst.
inline milliseconds retry_delay(milliseconds latency_target, double position)
{
    constexpr double min_target_fraction = 0.25;
    constexpr double max_target_fraction = 0.5;
    return latency_target *
           (min_target_fraction + (max_target_fraction - min_target_fraction) * position);
}

} // namespace chestnutstand
