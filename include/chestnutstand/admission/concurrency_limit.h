#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chestnutstand {

/// What the end of a request tells about the upstream.
enum class sample_kind : std::uint8_t {
    completed,     ///< The latency is that of a whole response.
    timed_out,     ///< The latency is a lower bound.
    shed,          ///< The upstream refused the request because of its load.
    uninformative, ///< Cancelled, failed or not sent; tells nothing about the load.
};

/// One ended request, as seen by the executor.
struct upstream_sample {
    sample_kind kind = sample_kind::uninformative;
    milliseconds latency{0};
};

/// Number of requests that may run on the upstream at once. Starts at the registered slot count and
/// never exceeds it. Load-shedding responses and response times well above their baseline lower it,
/// never below one; windows of ordinary responses at full use raise it again by one each. Pure.
class concurrency_limit {
public:
    struct observation {
        upstream_sample sample;
        /// Classes have different service times, so each has its own baseline.
        std::size_t priority = 0;
        time_point started;
        /// Requests that were running when this one ended, itself included.
        std::uint32_t in_flight = 0;
    };

    explicit concurrency_limit(std::uint32_t slots);

    std::uint32_t value() const { return limit_; }
    std::uint32_t slots() const { return slots_; }

    /// Follows a changed registration. A limit that was at its upper bound stays there.
    void set_slots(std::uint32_t slots);

    /// Forgets what is known of response times, for example when the classes have changed.
    void reset_baselines();

    void observe(const observation& seen, time_point now);

private:
    struct class_window {
        double latency_sum_ms = 0.0;
        std::uint32_t count = 0;
        /// Usual mean latency; zero while unknown.
        double baseline_ms = 0.0;
    };
    /// Series of decreases with one cause, for the check that they help.
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
