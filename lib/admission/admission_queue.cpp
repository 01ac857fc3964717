#include "chestnutstand/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace chestnutstand {
namespace {

constexpr double service_time_samples = 32.0;
constexpr milliseconds service_time_half_life{500};
constexpr double ms_per_second = 1'000.0;
// The other half of class_queue::target_slack() allows for the variation of the estimate and of the
// service time.
constexpr double overloaded_wait_slack_fraction = 0.5;
// Time that a first try may have spent on its way between the nodes.
constexpr milliseconds first_try_tolerance{20};
// Less than 1, so that rounding errors in the sum of shares do not delay an earned dispatch.
constexpr double earned_dispatch_credit = 1.0 - 1e-9;
// A class without requests for this long is not expected to send one soon and gets no headroom.
constexpr milliseconds recent_demand_window{10'000};
// A request that was held back starts only in a call of next(), and nothing causes one when its
// deadline comes near. The caller must therefore call next() at least this often.
constexpr milliseconds deadline_start_margin{40};
// A slot is not kept idle to avoid a wait of at most a tenth of the latency target.
constexpr double negligible_wait_target_fraction = 0.1;

double sum_of_weights(const service_config& service)
{
    return std::accumulate(
        service.priorities.begin(), service.priorities.end(), 0.0,
        [](double sum, const priority_config& priority) { return sum + priority.weight; });
}

double guaranteed_share(const service_config& service, const priority_config& priority)
{
    const double sum = sum_of_weights(service);
    return sum > 0.0 ? service.reserve * priority.weight / sum : 0.0;
}

} // namespace

admission_queue::admission_queue(const service_config& service, std::uint32_t slots)
    : limit_{slots}, service_time_{service_time_samples, service_time_half_life}
{
    set_classes(service);
}

std::optional<std::size_t> admission_queue::find_priority(std::string_view name) const
{
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (classes_[i].config().name == name) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> admission_queue::find_fallback_priority(std::string_view prefix) const
{
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (classes_[i].config().name.rfind(prefix, 0) == 0) {
            return i;
        }
    }
    return by_urgency_.empty() ? std::nullopt : std::optional{by_urgency_.back()};
}

offer_result admission_queue::offer(std::uint64_t id, std::size_t priority, time_point deadline,
                                    time_point now, std::optional<time_point> due)
{
    if (draining_) {
        return {offer_state::refused, reason_code::draining};
    }
    if (priority >= classes_.size()) {
        return {offer_state::refused, reason_code::unknown_priority};
    }
    auto& queue = classes_[priority];
    const queued_request request{id, now, deadline, due.value_or(queue.due_of_first_try(now))};
    if (const auto reason = refusal_of(request, priority, now); reason != reason_code::none) {
        return {offer_state::refused, reason};
    }
    queue.arrivals().add(now);
    queue.last_offer = now;
    queue.push(request, now);
    queued_[id] = priority;
    if (queue.size() == 1 && pick(now) == priority) {
        start_next_of(priority, now);
        return {offer_state::admitted, reason_code::none};
    }
    return {offer_state::queued, reason_code::none};
}

reason_code admission_queue::refusal_of(const queued_request& request, std::size_t priority,
                                        time_point now)
{
    auto& queue = classes_[priority];
    if (queued_.contains(request.id) || running_.contains(request.id)) {
        return reason_code::internal;
    }
    if (queue.full()) {
        return reason_code::queue_full;
    }
    const auto wait = expected_wait(priority, now, request.due);
    if (now + wait + milliseconds{queue.service_time().optimistic_mean(now)} >= request.deadline) {
        queue.refused_while_empty = queue.empty();
        return reason_code::deadline_unmeetable;
    }
    if (should_come_back(request, priority, wait, now)) {
        queue.prolong_overload(now);
        return reason_code::queue_full;
    }
    return reason_code::none;
}

/// Whether a request whose deadline can be met is refused because of an overload. Never while the
/// queue of its class is empty, so that the class keeps a queued request and receives its
/// guaranteed share.
bool admission_queue::should_come_back(const queued_request& request, std::size_t priority,
                                       milliseconds wait, time_point now)
{
    auto& queue = classes_[priority];
    if (queue.empty()) {
        return false;
    }
    const bool is_first_try = request.due >= queue.due_of_first_try(now) - first_try_tolerance;
    const milliseconds slack = queue.latest_start(request.due, now) - now;
    const milliseconds wait_for_slot = expected_wait_for_slot(priority, request.due, now);
    if (is_first_try) {
        // A rate limit can be lifted at any moment; slots do not become free sooner than expected.
        const bool overloaded = queue.update_overloaded(now);
        return overloaded ? wait > slack * overloaded_wait_slack_fraction : wait_for_slot > slack;
    }
    // The slack of one that came back is short or over.
    return queue.update_overloaded(now) && slack > milliseconds{0} && wait > slack;
}

std::optional<queue_decision> admission_queue::next(time_point now)
{
    if (auto refused = next_refusal(now)) {
        return refused;
    }
    if (const auto priority = pick(now)) {
        return start_next_of(*priority, now);
    }
    return std::nullopt;
}

std::optional<queue_decision> admission_queue::next_refusal(time_point now)
{
    if (!requests_of_removed_classes_.empty()) {
        const auto request = requests_of_removed_classes_.front();
        requests_of_removed_classes_.pop_front();
        return queue_decision{request.id, reason_code::unknown_priority, now - request.arrived};
    }
    for (auto& queue : classes_) {
        if (const auto refused = queue.take_refused(now)) {
            queued_.erase(refused->request.id);
            return queue_decision{refused->request.id, refused->reason,
                                  now - refused->request.arrived};
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> admission_queue::pick(time_point now) const
{
    if (full_of_abandoned() || in_flight() >= limit_.value() || queued_.empty() ||
        !rate_limit_.allows(now)) {
        return std::nullopt;
    }
    if (const auto guaranteed = pick_guaranteed(now)) {
        return guaranteed;
    }
    for (const bool in_time : {true, false}) {
        for (const auto priority : by_urgency_) {
            if (may_start(priority, in_time, now)) {
                return priority;
            }
        }
    }
    return std::nullopt;
}

bool admission_queue::may_start(std::size_t priority, bool in_time, time_point now) const
{
    const auto& queue = classes_[priority];
    return !queue.empty() && queue.has_in_time() == in_time && has_room(priority, now) &&
           is_worth_starting(queue, now);
}

std::optional<std::size_t> admission_queue::pick_guaranteed(time_point now) const
{
    std::optional<std::size_t> best;
    for (const auto priority : by_urgency_) {
        const auto& queue = classes_[priority];
        if (!queue.empty() && queue.credit >= earned_dispatch_credit &&
            is_worth_starting(queue, now) && (!best || queue.credit > classes_[*best].credit)) {
            best = priority;
        }
    }
    return best;
}

queue_decision admission_queue::start_next_of(std::size_t priority, time_point now)
{
    auto& queue = classes_[priority];
    rate_limit_.try_take(now);
    update_credits(priority);
    const auto request = queue.pop(now);
    queue.dispatches().add(now);
    ++queue.running;
    queued_.erase(request.id);
    running_[request.id] = {priority, now};
    return {request.id, reason_code::none, now - request.arrived};
}

void admission_queue::update_credits(std::size_t dispatched)
{
    for (auto& queue : classes_) {
        if (!queue.empty()) {
            queue.credit += queue.guaranteed_share();
        }
        else {
            const double earned = queue.refused_while_empty ? queue.guaranteed_share() : 0.0;
            queue.credit = std::min(1.0, queue.credit + earned);
        }
    }
    auto& credit = classes_[dispatched].credit;
    credit = std::max(0.0, credit - 1.0);
}

bool admission_queue::has_room(std::size_t priority, time_point now) const
{
    return in_flight() + headroom(priority, now) < limit_.value();
}

/// Whether the first request of the queue should start if a slot is free. The slowdown of a request
/// lasts until its end, even if that of the upstream ends meanwhile, so that waiting for the latter
/// is usually faster. It also is the only chance of a request that would miss its deadline if it
/// started now, and the better one of a request that meets its target if the slow phase ends soon.
bool admission_queue::is_worth_starting(const class_queue& queue, time_point now) const
{
    if (slowdown_ <= 1.0) {
        return true;
    }
    const milliseconds usual{queue.service_time().optimistic_mean(now)};
    const milliseconds slow = usual * slowdown_;
    const auto& first = queue.front();
    if (now + slow <= first.due) {
        return true;
    }
    const bool may_meet_target = now + usual <= first.due;
    const bool meets_deadline = now + slow <= first.deadline;
    const bool deadline_near = now + slow + deadline_start_margin >= first.deadline;
    return !may_meet_target && meets_deadline && deadline_near;
}

/// Number of slots that requests of a class leave free for those of more urgent classes. The more
/// urgent classes together need as many slots as they are expected to use at once; those that they
/// already occupy are subtracted. A more urgent class is counted if it queued a request within
/// recent_demand_window and if, with all slots used by the given class, the expected time until
/// one becomes free is longer than a wait that is negligible to the more urgent class.
std::uint32_t admission_queue::headroom(std::size_t priority, time_point now) const
{
    const auto& queue = classes_[priority];
    const double release_interval_ms =
        queue.service_time().blended_mean(queue.config().latency_target.count(), now) /
        limit_.value();
    double expected = 0.0;
    std::uint32_t running = 0;
    bool has_recent_demand = false;
    for (const auto more_urgent : by_urgency_) {
        if (more_urgent == priority) {
            break;
        }
        const auto& other = classes_[more_urgent];
        const double negligible_ms =
            other.config().latency_target.count() * negligible_wait_target_fraction;
        if (!other.last_offer || now - *other.last_offer > recent_demand_window ||
            release_interval_ms <= negligible_ms) {
            continue;
        }
        has_recent_demand = true;
        running += other.running;
        expected += other.arrivals().per_ms(now) * other.service_time().optimistic_mean(now);
    }
    if (!has_recent_demand) {
        return 0;
    }
    const double needed = std::max(1.0, std::ceil(expected + std::sqrt(expected)));
    const auto reserved = static_cast<std::uint32_t>(std::min<double>(needed, limit_.value() - 1));
    return reserved > running ? reserved - running : 0;
}

bool admission_queue::finish(std::uint64_t id, const upstream_sample& sample, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return false;
    }
    const auto request = found->second;
    const auto running = in_flight();
    running_.erase(found);
    if (!request.priority) {
        return true;
    }
    auto& queue = classes_[*request.priority];
    --queue.running;
    limit_.observe({sample, *request.priority, request.started, running}, now);
    if (sample.kind == sample_kind::completed || sample.kind == sample_kind::timed_out) {
        queue.service_time().add(sample.latency.count(), now);
        service_time_.add(sample.latency.count(), now);
    }
    return true;
}

bool admission_queue::remove(std::uint64_t id)
{
    if (const auto found = queued_.find(id); found != queued_.end()) {
        classes_[found->second].remove(id);
        queued_.erase(found);
        return true;
    }
    return std::erase_if(requests_of_removed_classes_,
                         [id](const auto& request) { return request.id == id; }) > 0;
}

std::optional<time_point> admission_queue::next_expiry(time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& queue : classes_) {
        if (const auto due = queue.next_expiry(now); due && (!earliest || *due < *earliest)) {
            earliest = due;
        }
    }
    return earliest;
}

void admission_queue::set_classes(const service_config& service)
{
    std::vector<class_queue> previous;
    previous.swap(classes_);
    std::vector<std::optional<std::size_t>> new_index(previous.size());
    for (const auto& priority : service.priorities) {
        const double share = guaranteed_share(service, priority);
        const auto kept =
            std::find_if(previous.begin(), previous.end(), [&](const class_queue& queue) {
                return queue.config().name == priority.name;
            });
        if (kept == previous.end()) {
            classes_.emplace_back(priority, share, service.queue_limit_per_priority);
            continue;
        }
        new_index[static_cast<std::size_t>(kept - previous.begin())] = classes_.size();
        classes_.push_back(std::move(*kept));
        classes_.back().configure(priority, share, service.queue_limit_per_priority);
    }
    for (std::size_t i = 0; i < previous.size(); ++i) {
        while (!new_index[i]) {
            const auto request = previous[i].evict();
            if (!request) {
                break;
            }
            queued_.erase(request->id);
            requests_of_removed_classes_.push_back(*request);
        }
    }
    for (auto& [id, priority] : queued_) {
        priority = *new_index[priority];
    }
    for (auto& [id, request] : running_) {
        request.priority = request.priority ? new_index[*request.priority] : std::nullopt;
    }
    bool changed = previous.size() != classes_.size();
    for (std::size_t i = 0; i < new_index.size(); ++i) {
        changed = changed || new_index[i] != i;
    }
    if (changed) {
        limit_.reset_baselines();
    }
    sort_by_urgency();
}

void admission_queue::sort_by_urgency()
{
    by_urgency_.resize(classes_.size());
    std::iota(by_urgency_.begin(), by_urgency_.end(), std::size_t{0});
    std::stable_sort(by_urgency_.begin(), by_urgency_.end(), [this](auto left, auto right) {
        const auto& first = classes_[left].config();
        const auto& second = classes_[right].config();
        return std::tie(first.rank, first.latency_target) <
               std::tie(second.rank, second.latency_target);
    });
}

load_report admission_queue::report(time_point now) const
{
    load_report load;
    load.in_flight = in_flight();
    load.limit = limit_.value();
    if (const auto per_second = rate_limit_.per_second(now)) {
        const double at_once = *per_second / ms_per_second * service_time_.mean();
        const double limit =
            std::clamp(std::ceil(at_once), 1.0, std::max(1.0, static_cast<double>(load.limit)));
        load.limit = static_cast<std::uint32_t>(limit);
        load.in_flight =
            rate_limit_.allows(now) ? load.in_flight : std::max(load.in_flight, load.limit);
    }
    load.latency = milliseconds{service_time_.mean()};
    load.draining = draining_;
    for (const auto& queue : classes_) {
        load.queues.push_back({queue.config().name, static_cast<std::uint32_t>(queue.size())});
    }
    return load;
}

} // namespace chestnutstand
