#pragma once

#include "chestnutstand/admission/abandoned_requests.h"
#include "chestnutstand/admission/class_queue.h"
#include "chestnutstand/admission/concurrency_limit.h"
#include "chestnutstand/admission/decaying_mean.h"
#include "chestnutstand/admission/start_limit.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"
#include "chestnutstand/transport/call.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

enum class offer_state : std::uint8_t {
    admitted, ///< Starts now; the caller of offer() sends it to the upstream.
    queued,   ///< next() will return it, to be started or to be refused.
    refused,
};

struct offer_result {
    offer_state result = offer_state::refused;
    reason_code reason = reason_code::none;
};

/// A request that leaves the queue, to be started or to be refused.
struct queue_decision {
    std::uint64_t id = 0;
    /// Why the request is refused; none if it is to be started.
    reason_code refusal = reason_code::none;
    milliseconds waited{0};

    bool starts() const { return refusal == reason_code::none; }
};

/// Admission control for one upstream: decides when each request starts and which requests are
/// refused. It stores only request ids; the caller owns the requests. It does no I/O and reads no
/// clock. Not thread-safe.
///
/// Order: requests that can still meet their latency target come before all that cannot, whose
/// responses are worth less to their callers. Within both, classes are served by configured rank,
/// then by latency target, the lowest first, then by position in the document. A class that has
/// earned a whole dispatch by its guaranteed share, reserve x weight / sum of weights, is served
/// before all others.
///
/// Refusal on arrival: a first try that would be late is refused while others wait, as its caller
/// can come back when there is room; a caller that came back is queued as long as its deadline can
/// be met.
///
/// Guarantee: a class that has queued requests throughout N dispatches of any class receives at
/// least N x share - (H(K) + share) of them, where share is its guaranteed share, K the number of
/// classes and H(K) = 1 + 1/2 + ... + 1/K. It does not hold while the class is held back because
/// the upstream is slow; see set_slowdown().
///
/// To this end, each class has a credit, the number of dispatches that it has earned but not
/// received. Each dispatch adds its guaranteed share to the credit of every class that has queued
/// requests. A class that has none gains its share as well if, since it last had any, it refused
/// an arriving request because of its deadline; its credit is capped at one. The dispatched class
/// then pays one, but its credit does not fall below zero, so a class that was served beyond its
/// share owes nothing later. The class with the largest credit of at least one is served next. The
/// credit of a class therefore stays below H(K) + its share: this is the known bound for K counters
/// that together grow by at most one per step and of which the largest is always the one reduced.
///
/// Rate limit: an upstream may take only so many requests per second. Requests of all classes then
/// wait for the same tokens, in the order above.
///
/// Headroom: running requests are not preempted, so if slow requests of less urgent classes held
/// all slots, an urgent request would have to wait for one of them to end. Less urgent classes
/// therefore leave as many slots free as the more urgent classes are expected to need, judged by
/// their recent demand (mean + square root of the mean). No slots are kept free when slots become
/// free quickly compared with the latency target. Guaranteed dispatches ignore the headroom.
class admission_queue {
public:
    admission_queue(const service_config& service, std::uint32_t slots);

    /// Index of the class with this name, valid until the next set_classes().
    std::optional<std::size_t> find_priority(std::string_view name) const;

    /// Class for a request whose own class is not configured here: the first class whose name has
    /// the prefix, otherwise the least urgent class; nullopt if there are no classes.
    std::optional<std::size_t> find_fallback_priority(std::string_view prefix) const;

    /// Sets the current service time of the upstream relative to its usual one. While the factor is
    /// above 1, however little, a request starts only if it is still expected to meet its latency
    /// target, or if it cannot meet it any more, by waiting for the usual speed, and would miss its
    /// deadline by waiting longer.
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// Sets the number of requests that this node has abandoned and that the upstream may still
    /// hold; see held_requests_per_slot.
    void set_abandoned(std::uint32_t count) { abandoned_ = count; }

    /// Whether no request starts because of the abandoned ones.
    bool full_of_abandoned() const
    {
        return abandoned_ > 0 &&
               in_flight() + abandoned_ >= held_requests_per_slot * limit_.slots();
    }

    /// Sets the requests per second that the upstream takes; nullopt for no limit.
    void set_rate_limit(std::optional<double> per_second, time_point now)
    {
        rate_limit_.named().set(per_second, now);
    }

    /// Limit that applies while the upstream is cold.
    cold_limit& cold() { return rate_limit_.cold(); }

    /// Whether the limit of is_delayed_by_rate_limit() is that of a cold upstream.
    bool is_cold_limit(time_point now) const { return rate_limit_.is_cold_limit(now); }

    /// Whether a request that arrives now would wait for the rate limit for so long that another
    /// upstream is likely to be faster.
    bool is_delayed_by_rate_limit(std::size_t priority, time_point now);

    /// Admits, queues or refuses a request. Ids must be unique among all requests in the queue.
    /// The due time is that of class_queue::due_of_first_try() if it is not given.
    offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline, time_point now,
                       std::optional<time_point> due = std::nullopt);

    /// The next request to start or to refuse. Call it until it returns nullopt, after each call of
    /// another non-const member and whenever the time of next_expiry() has passed. While requests
    /// are queued and the slowdown is above 1 or a rate limit is set, also call it at least every
    /// 40 ms: next_expiry() does not tell when a request that was held back may or has to start.
    std::optional<queue_decision> next(time_point now);

    /// Ends a started request; false if no such request is running.
    bool finish(std::uint64_t id, const upstream_sample& sample, time_point now);

    /// Removes a queued request whose caller has disconnected; false if it is not queued.
    bool remove(std::uint64_t id);

    /// Applies a changed configuration. next() returns the requests of removed classes as refused.
    void set_classes(const service_config& service);
    void set_slots(std::uint32_t slots) { limit_.set_slots(slots); }

    /// Refuses all further offers; requests that are already queued are still served.
    void drain() { draining_ = true; }

    bool idle() const
    {
        return queued_.empty() && running_.empty() && requests_of_removed_classes_.empty();
    }
    std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t limit() const { return limit_.value(); }
    std::optional<time_point> next_expiry(time_point now) const;

    /// Recent mean service time of a class, decaying to zero while none is measured.
    milliseconds service_time(std::size_t priority, time_point now) const
    {
        return milliseconds{classes_[priority].service_time().optimistic_mean(now)};
    }

    /// Expected queueing time of a request that arrives now, by default of a first try.
    milliseconds expected_wait(std::size_t priority, time_point now,
                               std::optional<time_point> due = std::nullopt);

    /// Current load; the caller has to set instance, upstream_registered and pace. Under a rate
    /// limit, the concurrency limit is the number of requests that run at once at that rate, and
    /// all of it counts as used while no request may start.
    load_report report(time_point now) const;

private:
    struct running_request {
        /// nullopt if the class has been removed.
        std::optional<std::size_t> priority;
        time_point started;
    };

    reason_code refusal_of(const queued_request& request, std::size_t priority, time_point now);
    bool should_come_back(const queued_request& request, std::size_t priority, milliseconds wait,
                          time_point now);
    milliseconds expected_wait_for_slot(std::size_t priority, time_point due, time_point now);
    milliseconds expected_wait_for_rate(std::size_t priority, time_point due, time_point now);
    /// Whether the first request of the class, in time or late, may start now.
    bool may_start(std::size_t priority, bool in_time, time_point now) const;
    std::optional<std::size_t> pick(time_point now) const;
    std::optional<std::size_t> pick_guaranteed(time_point now) const;
    queue_decision start_next_of(std::size_t priority, time_point now);
    void update_credits(std::size_t dispatched);
    bool has_room(std::size_t priority, time_point now) const;
    bool is_worth_starting(const class_queue& queue, time_point now) const;
    std::uint32_t headroom(std::size_t priority, time_point now) const;
    /// Removes a request that has to be refused now, if there is one: because of its deadline, an
    /// overload or the removal of its class.
    std::optional<queue_decision> next_refusal(time_point now);
    double dispatches_per_ms(std::size_t priority, time_point now) const;
    void sort_by_urgency();

    concurrency_limit limit_;
    /// In the order of the configuration document.
    std::vector<class_queue> classes_;
    /// Indices into classes_, most urgent first.
    std::vector<std::size_t> by_urgency_;
    std::unordered_map<std::uint64_t, std::size_t> queued_;
    std::unordered_map<std::uint64_t, running_request> running_;
    /// To be returned by next() as refused.
    std::deque<queued_request> requests_of_removed_classes_;
    decaying_mean service_time_;
    start_limit rate_limit_;
    double slowdown_ = 1.0;
    std::uint32_t abandoned_ = 0;
    bool draining_ = false;
};

} // namespace chestnutstand
