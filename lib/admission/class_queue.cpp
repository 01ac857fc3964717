#include "chestnutstand/admission/class_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chestnutstand {
namespace {

constexpr double service_time_samples = 16.0;
// After a few half-lives, a class that was refused because of its measured service time is admitted
// again, so that it can be measured anew.
constexpr milliseconds measurement_half_life{500};
// A queue that is empty again within two latency targets is a burst that the capacity can absorb.
constexpr double overload_interval_targets = 2.0;
// Lets requests wait for a while even if the service time of the class exceeds its latency target.
constexpr double min_slack_target_fraction = 0.25;
// Limits the rate of wake-ups while the expiry time changes with the measured service time.
constexpr milliseconds min_expiry_delay{1};

} // namespace

class_queue::class_queue(priority_config config, double guaranteed_share, std::size_t max_size)
    : config_{std::move(config)}, guaranteed_share_{guaranteed_share}, max_size_{max_size},
      service_time_{service_time_samples, measurement_half_life}, arrivals_{measurement_half_life},
      dispatches_{measurement_half_life}
{
}

void class_queue::configure(priority_config config, double guaranteed_share, std::size_t max_size)
{
    config_ = std::move(config);
    guaranteed_share_ = guaranteed_share;
    max_size_ = max_size;
}

void class_queue::push(const queued_request& request, time_point now)
{
    if (empty()) {
        non_empty_since_ = now;
    }
    refused_while_empty = false;
    requests_[request.id] = {request, std::nullopt};
    by_deadline_.emplace(request.deadline, request.id);
    if (latest_start(request.due, now) < now) {
        add_late(request.id);
        return;
    }
    in_time_.emplace(request.due, request.id);
}

bool class_queue::remove(std::uint64_t id)
{
    if (!requests_.contains(id)) {
        return false;
    }
    extract(id);
    return true;
}

std::uint64_t class_queue::next_id() const
{
    return in_time_.empty() ? late_.front() : in_time_.begin()->second;
}

const queued_request& class_queue::front() const
{
    return requests_.at(next_id()).request;
}

queued_request class_queue::pop(time_point now)
{
    move_late_requests(now);
    return extract(next_id());
}

std::optional<refused_request> class_queue::take_refused(time_point now)
{
    if (empty()) {
        return std::nullopt;
    }
    const milliseconds service{service_time_.optimistic_mean(now)};
    const auto [deadline, id] = *by_deadline_.begin();
    if (deadline <= now + service) {
        return refused_request{extract(id), reason_code::deadline_unmeetable};
    }
    move_late_requests(now);
    if (!late_.empty() && update_overloaded(now)) {
        prolong_overload(now);
        return refused_request{extract(late_.front()), reason_code::queue_timeout};
    }
    return std::nullopt;
}

std::optional<queued_request> class_queue::evict()
{
    if (empty()) {
        return std::nullopt;
    }
    return extract(by_deadline_.begin()->second);
}

std::optional<time_point> class_queue::next_expiry(time_point now) const
{
    if (empty()) {
        return std::nullopt;
    }
    auto due = by_deadline_.begin()->first - milliseconds{service_time_.optimistic_mean(now)};
    if (!in_time_.empty()) {
        due = std::min(due, latest_start(in_time_.begin()->first, now));
    }
    return std::max(due, now + min_expiry_delay);
}

std::size_t class_queue::requests_ahead(time_point due, time_point now)
{
    move_late_requests(now);
    if (latest_start(due, now) < now) {
        return size();
    }
    return static_cast<std::size_t>(std::distance(in_time_.begin(), in_time_.upper_bound(due)));
}

milliseconds class_queue::target_slack(time_point now) const
{
    const milliseconds service{service_time_.optimistic_mean(now)};
    return std::max(config_.latency_target - service,
                    config_.latency_target * min_slack_target_fraction);
}

bool class_queue::update_overloaded(time_point now)
{
    if (!overloaded_ && non_empty_since_ && now - *non_empty_since_ >= overload_interval()) {
        overloaded_ = true;
        last_overload_event_ = now;
    }
    if (overloaded_ && empty() && now - last_overload_event_ >= overload_interval()) {
        overloaded_ = false;
    }
    return overloaded_;
}

milliseconds class_queue::overload_interval() const
{
    return config_.latency_target * overload_interval_targets;
}

void class_queue::move_late_requests(time_point now)
{
    while (!in_time_.empty() && latest_start(in_time_.begin()->first, now) < now) {
        const std::uint64_t id = in_time_.begin()->second;
        in_time_.erase(in_time_.begin());
        add_late(id);
    }
}

void class_queue::add_late(std::uint64_t id)
{
    requests_.at(id).late = late_.insert(late_.end(), id);
}

queued_request class_queue::extract(std::uint64_t id)
{
    const auto found = requests_.find(id);
    const auto [request, late] = found->second;
    if (late) {
        late_.erase(*late);
    }
    else {
        const auto [first, last] = in_time_.equal_range(request.due);
        in_time_.erase(
            std::find_if(first, last, [id](const auto& queued) { return queued.second == id; }));
    }
    by_deadline_.erase({request.deadline, id});
    requests_.erase(found);
    if (empty()) {
        non_empty_since_.reset();
    }
    return request;
}

} // namespace chestnutstand
