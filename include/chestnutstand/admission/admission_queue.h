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
    admitted, ///< Runs now; the caller of offer() sends it to the upstream.
    queued,   ///< next() will hand it out, to start or to refuse.
    refused,
};

struct offer_result {
    offer_state result = offer_state::refused;
    reason_code reason = reason_code::none;
};

/// One request that leaves the queue, to be started or to be refused.
struct queue_decision {
    std::uint64_t id = 0;
    /// Why the request is refused; none when it starts.
    reason_code refusal = reason_code::none;
    milliseconds waited{0};

    bool starts() const { return refusal == reason_code::none; }
};

/// Admission control in front of one upstream: decides which request starts when, and which is
/// refused. Knows requests by id only; the caller keeps them. Pure and not thread-safe.
///
/// Order: the class with the lowest latency target first, except that a class is served as soon as
/// it has earned a dispatch by its guaranteed share. Every dispatch earns each backlogged class
/// reserve x weight / sum of weights of a dispatch, and costs the dispatched class one. Among K
/// classes the earned and not yet received dispatches of one class stay below H(K) + its share,
/// H(K) = 1 + 1/2 + ... + 1/K: this is the known bound for serving the largest of K counters that
/// together grow by at most one per step. So of N dispatches during which a class was backlogged it
/// gets at least its share of N, less that bound.
///
/// Headroom: running requests are not preempted, so a full set of slow, less urgent ones would make
/// an urgent one wait for the first to end. Less urgent classes therefore leave the slots free that
/// the recent demand of the more urgent ones is expected to need (mean + square root of the mean),
/// unless slots become free quickly compared with the target anyway. Guaranteed dispatches ignore
/// the headroom.
class admission_queue {
public:
    admission_queue(const service_config& service, std::uint32_t slots);

    /// Index of a class by its name, valid until the next set_classes().
    std::optional<std::size_t> find_priority(std::string_view name) const;

    /// A class for a request whose own is not known here: the first one with the prefix, or else
    /// the one that is served last. Nothing when there is no class.
    std::optional<std::size_t> find_fallback_priority(std::string_view prefix) const;

    /// Tells how long work takes on the upstream now, compared with its usual time. While it takes
    /// longer, a request starts only if it would still meet its latency target, or else would miss
    /// its deadline.
    void set_pace(double factor) { pace_ = factor; }

    /// Admits, queues or refuses a request. Ids must be unique among all requests in the queue.
    offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline, time_point now);

    /// The next request to start or to refuse; to be called until it returns nothing, after every
    /// other call and whenever next_expiry() has passed.
    std::optional<queue_decision> next(time_point now);

    /// Ends a started request; false when no such request is running.
    bool finish(std::uint64_t id, const upstream_sample& sample, time_point now);

    /// Takes a request out whose caller has gone; false when it is not queued (any more).
    bool remove(std::uint64_t id);

    /// Applies a changed configuration. Requests of removed classes are handed out by next().
    void set_classes(const service_config& service);
    void set_slots(std::uint32_t slots) { limit_.set_slots(slots); }

    /// Refuses all further offers; what is queued still runs.
    void drain() { draining_ = true; }

    bool idle() const { return queued_.empty() && running_.empty() && removed_classes_.empty(); }
    std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t limit() const { return limit_.value(); }
    std::optional<time_point> next_expiry(time_point now) const;

    /// Expected wait of a request that would be queued now.
    milliseconds expected_wait(std::size_t priority, time_point now);

    /// The load, without the instance id and the registration, which the queue does not know.
    load_report report() const;

private:
    struct running_request {
        /// No value when the class has been removed.
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
    /// In the order of the document.
    std::vector<class_queue> classes_;
    /// Indexes into classes_, most urgent first.
    std::vector<std::size_t> by_urgency_;
    std::unordered_map<std::uint64_t, std::size_t> queued_;
    std::unordered_map<std::uint64_t, running_request> running_;
    /// Requests whose class was removed, still to be handed out by next().
    std::deque<queued_request> removed_classes_;
    decaying_mean service_time_;
    double pace_ = 1.0;
    bool draining_ = false;
};

} // namespace chestnutstand
