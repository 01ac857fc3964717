#pragma once

#include "chestnutstand/support/clock.h"

namespace chestnutstand {

/// When a refused caller should come back. Early enough to be served within its latency target, for
/// which its time has been running since its first attempt, and late enough for queues that turn
/// over several times within a target to have moved on. The position in [0, 1) spreads the callers.
///
/// Load pattern: a burst that fills the queues for longer than a latency target. A later return is
/// as likely to be refused again, and what it gets is late; callers that return together are a
/// burst of their own.
inline milliseconds retry_delay(milliseconds latency_target, double position)
{
    constexpr double earliest = 0.25;
    constexpr double latest = 0.5;
    return latency_target * (earliest + (latest - earliest) * position);
}

} // namespace chestnutstand
