#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chestnutstand {

/// What the end of a request reveals about the load of the upstream.
enum class sample_kind : std::uint8_t {
    completed,     ///< The latency is that of a whole response.
    timed_out,     ///< The latency is a lower bound.
    shed,          ///< The upstream refused the request because of its load.
    uninformative, ///< Cancelled, failed or not sent; reveals nothing about the load.
};

/// A finished request, as measured by the executor.
struct upstream_sample {
    sample_kind kind = sample_kind::uninformative;
    milliseconds latency{0};
};

/// Adaptive limit on the number of requests that run on the upstream at once. It starts at the
/// registered number of slots and never exceeds it. Load-shedding responses and latencies well
/// above their baseline lower it, but not below one. Each window of normal latencies during which
/// the limit was fully used raises it by one. Does no I/O and reads no clock. Not thread-safe.
class concurrency_limit {
public:
    struct observation {
        upstream_sample sample;
        /// Classes have different service times, so each has its own baseline.
        std::size_t priority = 0;
        time_point started;
        /// Requests that were running when this one ended, including this one.
        std::uint32_t in_flight = 0;
    };

    explicit concurrency_limit(std::uint32_t slots);

    std::uint32_t value() const { return limit_; }
    std::uint32_t slots() const { return slots_; }

    /// Applies the slots of a changed registration. A limit that equals the number of slots follows
    /// it; a lower limit is not raised.
    void set_slots(std::uint32_t slots);

    /// Discards the latency baselines and the current window, for example after the classes
    /// changed.
    void reset_baselines();

    void observe(const observation& observed, time_point now);

private:
    struct class_window {
        double latency_sum_ms = 0.0;
        std::uint32_t count = 0;
        /// Usual mean latency; zero until one has been measured.
        double baseline_ms = 0.0;
    };
    /// State before a series of decreases, to check whether they reduce the latency.
    struct congestion {
        std::uint32_t limit_before = 0;
        double ratio_before = 0.0;
    };

    std::uint32_t window_size() const;
    void close_window(time_point now);
    void grow_early(time_point now);
    bool may_grow(time_point now) const;
    double latency_ratio();
    void update_baselines(bool congested);
    void react_to_congestion(double ratio, time_point now);
    void decrease(double factor, time_point now);
    void clear_window();

    std::uint32_t slots_;
    std::uint32_t limit_;
    std::vector<class_window> classes_;
    std::uint32_t window_count_ = 0;
    std::uint32_t window_peak_ = 0;
    std::optional<congestion> congestion_;
    std::optional<time_point> last_decrease_;
    std::optional<time_point> last_shed_;
};

} // namespace chestnutstand
