#pragma once

#include "chestnutstand/admission/decaying_mean.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace chestnutstand {

struct queued_request {
    std::uint64_t id = 0;
    time_point arrived;
    time_point deadline;
};

struct expired_request {
    queued_request request;
    reason_code reason = reason_code::none;
};

/// The queued requests of one priority class and the statistics of the class.
///
/// Order: FIFO among the requests that can still meet the latency target, followed by the late
/// requests, which are served with spare capacity only. With plain FIFO, every request is served
/// late once the queueing time has reached the target. Adaptive LIFO serves the newest requests in
/// time, but all others wait until they are refused, and it overtakes requests that were still in
/// time. Here, refusals on arrival keep an overloaded queue short, so FIFO meets the target as well
/// and a refused caller is told immediately.
class class_queue {
public:
    class_queue(priority_config config, double guaranteed_share, std::size_t max_size);

    /// Applies a changed configuration and keeps the requests and statistics.
    void configure(priority_config config, double guaranteed_share, std::size_t max_size);

    const priority_config& config() const { return config_; }
    double guaranteed_share() const { return guaranteed_share_; }
    std::size_t size() const { return positions_.size(); }
    bool empty() const { return positions_.empty(); }
    bool full() const { return size() >= max_size_; }

    void push(const queued_request& request, time_point now);
    bool remove(std::uint64_t id);
    /// The request to serve next; the queue must not be empty. Requests that have become late since
    /// the last pop(), expire() or requests_ahead() still count as in time.
    const queued_request& front() const;
    queued_request pop(time_point now);
    /// Removes and returns a request that has to be refused now, if there is one.
    std::optional<expired_request> expire(time_point now);
    /// Removes and returns any one request; used to empty the queue of a removed class.
    std::optional<queued_request> evict();
    /// Earliest time at which a queued request may have to be refused.
    std::optional<time_point> next_expiry(time_point now) const;

    /// Number of requests of this class that would be served before a new one.
    std::size_t requests_ahead(time_point now);
    /// Longest queueing time after which a request is still expected to meet the latency target.
    milliseconds target_slack(time_point now) const;
    /// True once the queue has been non-empty for longer than a burst that the capacity can absorb,
    /// until it is empty and no request has been refused because of the overload for some time.
    bool overloaded(time_point now);
    /// Records a refusal caused by the overload, which prolongs the overloaded state.
    void note_overload_refusal(time_point now) { last_overload_refusal_ = now; }

    decaying_mean& service_time() { return service_time_; }
    const decaying_mean& service_time() const { return service_time_; }
    decaying_rate& arrivals() { return arrivals_; }
    const decaying_rate& arrivals() const { return arrivals_; }
    decaying_rate& dispatches() { return dispatches_; }
    const decaying_rate& dispatches() const { return dispatches_; }

    /// Dispatches that the class has earned by its guaranteed share and not yet received. Capped at
    /// one when another class is dispatched while this queue is empty.
    double credit = 0.0;
    /// A request was refused because of its expected wait while the queue was empty. The class then
    /// earns credit as if it were backlogged. Otherwise a class whose deadlines are shorter than
    /// the wait for its share would never receive that share.
    bool refused_while_empty = false;
    std::uint32_t running = 0;
    std::optional<time_point> last_offer;

private:
    using request_list = std::list<queued_request>;
    struct position {
        bool late;
        request_list::iterator request;
    };

    void move_late_requests(time_point now);
    queued_request extract(std::uint64_t id);
    milliseconds overload_interval() const;

    priority_config config_;
    double guaranteed_share_;
    std::size_t max_size_;
    request_list in_time_;
    request_list late_;
    std::unordered_map<std::uint64_t, position> positions_;
    std::set<std::pair<time_point, std::uint64_t>> by_deadline_;
    std::optional<time_point> non_empty_since_;
    bool overloaded_ = false;
    time_point last_overload_refusal_{};
    decaying_mean service_time_;
    decaying_rate arrivals_;
    decaying_rate dispatches_;
};

} // namespace chestnutstand
