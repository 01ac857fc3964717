#pragma once

#include "chestnutstand/admission/class_queue.h"
#include "chestnutstand/admission/concurrency_limit.h"
#include "chestnutstand/admission/decaying_mean.h"
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
/// Order: the class with the lowest latency target is served first, except that a class whose
/// guaranteed share has earned it a whole dispatch is served next. Each dispatch credits every
/// backlogged class with its guaranteed share, reserve x weight / sum of weights, and debits the
/// dispatched class by one. With K classes, the credit of a class stays below H(K) + its share,
/// where H(K) = 1 + 1/2 + ... + 1/K: the known bound for always serving the largest of K counters
/// that together grow by at most one per step. Of N dispatches during which a class was backlogged,
/// the class therefore receives at least its share of N, minus that bound.
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
    /// above 1, a request starts only if it is still expected to meet its latency target, or if it
    /// would miss its deadline by waiting longer.
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// Admits, queues or refuses a request. Ids must be unique among all requests in the queue.
    offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline, time_point now);

    /// The next request to start or to refuse. Call it until it returns nullopt, after each call of
    /// another non-const member and whenever the time of next_expiry() has passed.
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

    bool idle() const { return queued_.empty() && running_.empty() && removed_classes_.empty(); }
    std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t limit() const { return limit_.value(); }
    std::optional<time_point> next_expiry(time_point now) const;

    /// Expected queueing time of a request that arrives now.
    milliseconds expected_wait(std::size_t priority, time_point now);

    /// Current load; the instance id and the registration are left for the caller to set.
    load_report report() const;

private:
    struct running_request {
        /// nullopt if the class has been removed.
        std::optional<std::size_t> priority;
        time_point started;
    };

    reason_code refusal_of(std::uint64_t id, std::size_t priority, time_point deadline,
                           time_point now);
    std::optional<std::size_t> pick(time_point now) const;
    std::optional<std::size_t> pick_guaranteed(time_point now) const;
    queue_decision start_next_of(std::size_t priority, time_point now);
    void update_credits(std::size_t dispatched);
    bool has_room(std::size_t priority, time_point now) const;
    bool is_worth_starting(const class_queue& queue, time_point now) const;
    std::uint32_t headroom(std::size_t priority, time_point now) const;
    std::optional<queue_decision> expire(time_point now);
    double dispatches_per_ms(std::size_t priority, time_point now) const;
    void sort_by_urgency();

    concurrency_limit limit_;
    /// In the order of the configuration document.
    std::vector<class_queue> classes_;
    /// Indices into classes_, most urgent first.
    std::vector<std::size_t> by_urgency_;
    std::unordered_map<std::uint64_t, std::size_t> queued_;
    std::unordered_map<std::uint64_t, running_request> running_;
    /// Requests whose class was removed, to be returned by next() as refused.
    std::deque<queued_request> removed_classes_;
    decaying_mean service_time_;
    double slowdown_ = 1.0;
    bool draining_ = false;
};

} // namespace chestnutstand
