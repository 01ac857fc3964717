#pragma once

#include "chestnutstand/admission/decaying_mean.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace chestnutstand {

struct queued_request {
    std::uint64_t id = 0;
    time_point arrived;
    time_point deadline;
    /// When the response has to be complete to meet the latency target, which counts from the
    /// caller's first try.
    time_point due;
};

/// A request that was removed from a class_queue in order to be refused.
struct refused_request {
    queued_request request;
    reason_code reason = reason_code::none;
};

/// The queued requests of one priority class and the statistics of the class.
///
/// Order: by due time among the requests that can still meet the latency target, followed by the
/// late requests in the order in which they became late; these are served with spare capacity only.
/// Requests of callers that came back after a refusal are due sooner than new ones, and so are
/// served before them: a new request that is refused can come back, one that came back usually
/// cannot. With plain FIFO, every request is served late once the queueing time has reached the
/// target. Adaptive LIFO serves the newest requests in time, but all others wait until they are
/// refused, and it overtakes requests that were still in time. Here, refusals on arrival keep an
/// overloaded queue short, so that the order meets the target as well and a refused caller is told
/// immediately.
class class_queue {
public:
    class_queue(priority_config config, double guaranteed_share, std::size_t max_size);

    /// Applies a changed configuration and keeps the requests and statistics.
    void configure(priority_config config, double guaranteed_share, std::size_t max_size);

    const priority_config& config() const { return config_; }
    double guaranteed_share() const { return guaranteed_share_; }
    std::size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }
    /// Whether a request can still meet the latency target, as of the last call that is not const.
    bool has_in_time() const { return !in_time_.empty(); }
    bool full() const { return size() >= max_size_; }

    void push(const queued_request& request, time_point now);
    bool remove(std::uint64_t id);
    /// The request to serve next; the queue must not be empty. Requests that have become late since
    /// the last pop(), take_refused() or requests_ahead() still count as in time.
    const queued_request& front() const;
    queued_request pop(time_point now);
    /// Removes and returns a request that has to be refused now, if there is one: a request that
    /// can no longer meet its deadline, or in an overload the oldest late request.
    std::optional<refused_request> take_refused(time_point now);
    /// Removes and returns any one request; used to empty the queue of a removed class.
    std::optional<queued_request> evict();
    /// Earliest time at which a queued request may have to be refused.
    std::optional<time_point> next_expiry(time_point now) const;

    /// Number of requests of this class that would be served before a new one with that due time.
    std::size_t requests_ahead(time_point due, time_point now);
    /// Longest queueing time after which a request of a first try is still expected to meet the
    /// latency target.
    milliseconds target_slack(time_point now) const;
    /// Latest start of a request with that due time that is still expected to be in time.
    time_point latest_start(time_point due, time_point now) const
    {
        return due - (config_.latency_target - target_slack(now));
    }
    /// Due time of a request whose caller sends it for the first time now.
    time_point due_of_first_try(time_point now) const { return now + config_.latency_target; }
    /// Updates the overloaded state and returns it. A call sets the state if the queue has then
    /// been non-empty for two latency targets without a break, which is longer than a burst that
    /// the capacity can absorb. A call resets it if the queue is then empty and the state was last
    /// set or prolonged at least two latency targets ago. Time alone, without a call, changes
    /// nothing, and a call on a non-empty queue never resets the state. admission_queue and
    /// take_refused() only call it on a non-empty queue.
    bool update_overloaded(time_point now);
    /// To be called for each request that is refused because of the overload: the state then
    /// lasts at least two latency targets from now.
    void prolong_overload(time_point now) { last_overload_event_ = now; }

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
    using late_list = std::list<std::uint64_t>;
    struct entry {
        queued_request request;
        /// Position in late_; nullopt for a request in in_time_.
        std::optional<late_list::iterator> late;
    };

    void move_late_requests(time_point now);
    void add_late(std::uint64_t id);
    std::uint64_t next_id() const;
    queued_request extract(std::uint64_t id);
    milliseconds overload_interval() const;

    priority_config config_;
    double guaranteed_share_;
    std::size_t max_size_;
    /// Ids by due time. Those with the same due time are in the order of arrival.
    std::multimap<time_point, std::uint64_t> in_time_;
    late_list late_;
    std::unordered_map<std::uint64_t, entry> requests_;
    std::set<std::pair<time_point, std::uint64_t>> by_deadline_;
    std::optional<time_point> non_empty_since_;
    bool overloaded_ = false;
    /// When the overloaded state was last set or prolonged.
    time_point last_overload_event_{};
    decaying_mean service_time_;
    decaying_rate arrivals_;
    decaying_rate dispatches_;
};

} // namespace chestnutstand
