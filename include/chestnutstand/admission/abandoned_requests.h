#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace chestnutstand {

/// Counts the requests that this node has abandoned and that its upstream may still hold: calls and
/// probes that were cancelled or timed out. Handles the load pattern of a full upstream: its
/// requests time out, and each one that is replaced by a new one adds to those in the upstream,
/// until it can queue no more and stops answering. Pure; not thread-safe.
class abandoned_requests {
public:
    /// Adds a request whose connection was closed before the response arrived. It counts until the
    /// upstream reports that it has ended, at most for the usual time of its work twice over: most
    /// upstreams drop a request when its connection closes, and others finish it.
    void add(time_point now, milliseconds usual_time);

    /// Applies a report of the upstream: it holds `held` requests, of which at least `own` are not
    /// abandoned.
    void observe(std::uint32_t held, std::uint32_t own, time_point now);

    std::uint32_t count(time_point now);

private:
    void expire(time_point now);

    /// Ends of the requests, in ascending order.
    std::deque<time_point> ends_;
};

/// Number of abandoned requests and running ones together, as a multiple of the slots, beyond which
/// no further request starts. Upstreams queue at least as many requests as they have slots.
inline constexpr std::uint32_t held_requests_per_slot = 2;

} // namespace chestnutstand
