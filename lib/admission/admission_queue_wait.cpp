// Expected waits of the admission queue.

#include "chestnutstand/admission/admission_queue.h"

#include <algorithm>
#include <limits>

namespace chestnutstand {
namespace {

constexpr double min_service_time_ms = 0.01;
constexpr double ms_per_second = 1'000.0;
// Sending a request to another upstream takes a few milliseconds and may end in its queue, so that
// a wait of at most a quarter of the latency target is preferred.
constexpr double tolerable_rate_wait_target_fraction = 0.25;

} // namespace

bool admission_queue::is_delayed_by_rate_limit(std::size_t priority, time_point now)
{
    const auto& queue = classes_[priority];
    return expected_wait_for_rate(priority, queue.due_of_first_try(now), now) >
           queue.config().latency_target * tolerable_rate_wait_target_fraction;
}

milliseconds admission_queue::expected_wait(std::size_t priority, time_point now,
                                            std::optional<time_point> due)
{
    const time_point due_at = due.value_or(classes_[priority].due_of_first_try(now));
    return std::max(expected_wait_for_slot(priority, due_at, now),
                    expected_wait_for_rate(priority, due_at, now));
}

/// Expected time until the rate limit lets a request that arrives now start, after those that are
/// served before it.
milliseconds admission_queue::expected_wait_for_rate(std::size_t priority, time_point due,
                                                     time_point now)
{
    const auto limit = rate_limit_.per_second(now);
    if (!limit) {
        return milliseconds{0};
    }
    const double limit_per_ms = *limit / ms_per_second;
    double ahead = static_cast<double>(classes_[priority].requests_ahead(due, now));
    double left_per_ms = limit_per_ms;
    for (const auto index : by_urgency_) {
        if (index == priority) {
            break;
        }
        ahead += static_cast<double>(classes_[index].size());
        left_per_ms -= classes_[index].dispatches().per_ms(now);
    }
    left_per_ms = std::max(left_per_ms, limit_per_ms * classes_[priority].guaranteed_share());
    const milliseconds first = rate_limit_.wait_for(1.0, now);
    if (ahead <= 0.0) {
        return first;
    }
    return left_per_ms > 0.0 ? first + milliseconds{ahead / left_per_ms}
                             : milliseconds{std::numeric_limits<double>::infinity()};
}

milliseconds admission_queue::expected_wait_for_slot(std::size_t priority, time_point due,
                                                     time_point now)
{
    auto& queue = classes_[priority];
    const auto ahead_in_class = queue.requests_ahead(due, now);
    const double total_per_ms = dispatches_per_ms(priority, now);
    const auto service_ms = [now](const class_queue& measured) {
        return measured.service_time().blended_mean(measured.config().latency_target.count(), now);
    };
    // Slots that this class leaves free for more urgent ones do not shorten its wait.
    const std::uint32_t reserved_slots = headroom(priority, now);
    double work_ahead_ms = static_cast<double>(ahead_in_class + 1) * service_ms(queue);
    double slots_left = static_cast<double>(limit_.value()) - reserved_slots;
    bool is_more_urgent = true;
    bool first_in_line = ahead_in_class == 0;
    for (const auto index : by_urgency_) {
        const auto& other = classes_[index];
        if (index == priority) {
            is_more_urgent = false;
        }
        else if (is_more_urgent) {
            // More urgent requests that arrive during the wait are served first; they are assumed
            // to arrive at the recent dispatch rate of their class.
            first_in_line = first_in_line && other.empty();
            work_ahead_ms += static_cast<double>(other.size()) * service_ms(other);
            slots_left -= other.dispatches().per_ms(now) * service_ms(other);
        }
        else if (!other.empty()) {
            slots_left -= other.guaranteed_share() * total_per_ms * service_ms(other);
        }
    }
    if (first_in_line && in_flight() + reserved_slots < limit_.value()) {
        return milliseconds{0};
    }
    const double wait_for_free_slot_ms =
        slots_left > 0.0 ? work_ahead_ms / slots_left : std::numeric_limits<double>::infinity();
    // The class receives its guaranteed share regardless of the load of the other classes, so it
    // waits at most until the share has earned the dispatches that this request needs.
    const double dispatches_to_earn =
        std::max(0.0, static_cast<double>(ahead_in_class + 1) - queue.credit);
    const double guaranteed_per_ms = total_per_ms * queue.guaranteed_share();
    const double wait_for_guarantee_ms =
        guaranteed_per_ms > 0.0 ? dispatches_to_earn / guaranteed_per_ms + 1.0 / total_per_ms
                                : std::numeric_limits<double>::infinity();
    return milliseconds{std::min(wait_for_free_slot_ms, wait_for_guarantee_ms)};
}

/// Rate at which requests start while all slots are in use. Until a service time has been measured,
/// the latency target of the class is used as its estimate, so that requests are neither all
/// admitted nor all refused.
double admission_queue::dispatches_per_ms(std::size_t priority, time_point now) const
{
    const double prior_ms = classes_[priority].config().latency_target.count();
    return limit_.value() /
           std::max(min_service_time_ms, service_time_.blended_mean(prior_ms, now));
}

} // namespace chestnutstand
