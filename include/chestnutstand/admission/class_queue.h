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

/// The queued requests of one priority class, and what was measured of the class.
///
/// Order: first in, first out among the requests that can still meet the latency target; the late
/// ones follow and are served with spare capacity only. Plain FIFO makes every served request late
/// once the queue is as long as the target. Adaptive LIFO serves the newest in time but makes all
/// the others wait for their refusal, and overtakes requests that were still in time; as the queue
/// is kept short by refusals on arrival while it is overloaded, FIFO meets the target as well and
/// the refused caller learns at once.
class class_queue {
public:
    class_queue(priority_config config, double guaranteed_share, std::size_t bound);

    /// Takes over a changed configuration, keeping the requests and measurements.
    void configure(priority_config config, double guaranteed_share, std::size_t bound);

    const priority_config& config() const { return config_; }
    double guaranteed_share() const { return guaranteed_share_; }
    std::size_t size() const { return positions_.size(); }
    bool empty() const { return positions_.empty(); }
    bool full() const { return size() >= bound_; }

    void push(const queued_request& request, time_point now);
    bool remove(std::uint64_t id);
    /// The request to serve next, up to those that have become late meanwhile; the queue must not
    /// be empty.
    const queued_request& front() const;
    queued_request pop(time_point now);
    /// A request that has to be refused by now, if any.
    std::optional<expired_request> expire(time_point now);
    /// Removes any request; for a class that no longer exists.
    std::optional<queued_request> evict();
    /// Earliest time at which a queued request may have to be refused.
    std::optional<time_point> next_expiry(time_point now) const;

    /// Requests that a new one would have to wait for within the class.
    std::size_t requests_ahead(time_point now);
    /// Longest wait with which a request is expected to meet the latency target.
    milliseconds target_slack(time_point now) const;
    /// True while the queue has been standing for so long that it is not a mere burst.
    bool overloaded(time_point now);
    /// Notes a refusal that was caused by the overload and thus keeps the state on.
    void note_overload_refusal(time_point now) { last_overload_refusal_ = now; }

    decaying_mean& service_time() { return service_time_; }
    const decaying_mean& service_time() const { return service_time_; }
    decaying_rate& arrivals() { return arrivals_; }
    const decaying_rate& arrivals() const { return arrivals_; }
    decaying_rate& dispatches() { return dispatches_; }
    const decaying_rate& dispatches() const { return dispatches_; }

    /// Dispatches that the class has earned by its guaranteed share and not yet received. At most
    /// one is kept when others are dispatched while the queue is empty.
    double credit = 0.0;
    /// A request was refused for its expected wait while the queue was empty. The class then earns
    /// credit as if it were backlogged; otherwise a class whose deadlines are shorter than the wait
    /// for its share would never get the share.
    bool refused_while_empty = false;
    std::uint32_t running = 0;
    std::optional<time_point> last_offer;

private:
    using request_list = std::list<queued_request>;
    struct position {
        bool late;
        request_list::iterator at;
    };

    void move_late(time_point now);
    queued_request take(std::uint64_t id);
    milliseconds overload_interval() const;

    priority_config config_;
    double guaranteed_share_;
    std::size_t bound_;
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
