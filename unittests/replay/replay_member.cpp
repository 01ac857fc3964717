#include "replay_member.h"

#include "chestnutstand/config/document.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutstand::replay {
namespace {

constexpr double work_sigma = 0.5;
/// Share of busy slots above which work takes longer, and its factor when all slots are busy.
constexpr double contention_start = 0.8;
constexpr double max_contention_factor = 2.0;
constexpr milliseconds rejection_time{0.5};
constexpr milliseconds expiry_step{5};
constexpr int status_error = 500;
constexpr int status_rejected = 503;

/// Replaces the priority classes by a single one, which is served in the order of arrival.
service_config with_single_class(service_config service)
{
    milliseconds longest{0};
    for (const auto& priority : service.priorities) {
        longest = std::max(longest, priority.latency_target);
    }
    service.priorities = {{"all", longest, 1.0, true}};
    return service;
}

} // namespace

replay_member::replay_member(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                             const service_config& service, const policy_options& options,
                             std::uint64_t seed)
    : model_member{instance, data_centre}, loop_{loop}, options_{options},
      queue_{options.by_urgency ? service : with_single_class(service), slots}, random_{seed}
{
}

bool replay_member::refuses(const service_call& call) const
{
    return options_.follow_slowdown && call.movable && slowdown_.slow(loop_.now());
}

void replay_member::execute(const service_call& call, call_done done)
{
    const auto entry = std::make_shared<execution>();
    entry->call = call;
    entry->done = std::move(done);
    if (refuses(call)) {
        refuse(entry, reason_code::upstream_slow);
        return;
    }
    entry->priority = options_.by_urgency ? queue_.find_priority(call.priority).value_or(0) : 0;
    const std::uint64_t id = ++last_id_;
    const auto result = queue_.offer(id, entry->priority, call.deadline, loop_.now(), call.due);
    if (result.result == offer_state::refused) {
        refuse(entry, result.reason);
        return;
    }
    executions_[id] = entry;
    if (call.cancel && options_.cancel_abandoned) {
        call.cancel->on_cancel([this, id] { cancel(id); });
    }
    if (result.result == offer_state::admitted) {
        start(id);
    }
    take_decisions();
}

void replay_member::take_decisions()
{
    if (options_.follow_slowdown) {
        queue_.set_slowdown(slowdown_.slow(loop_.now()) ? slowdown_.factor(loop_.now()) : 1.0);
    }
    while (const auto decision = queue_.next(loop_.now())) {
        if (decision->starts()) {
            start(decision->id);
            continue;
        }
        const auto entry = executions_.extract(decision->id).mapped();
        refuse(entry, decision->refusal);
    }
    schedule_expiry_check();
}

void replay_member::schedule_expiry_check()
{
    if (expiry_check_scheduled_ || queue_.idle()) {
        return;
    }
    expiry_check_scheduled_ = true;
    loop_.after(expiry_step, [this] {
        expiry_check_scheduled_ = false;
        // An upstream without work sends no reports, so a slow one is polled until it recovers.
        if (slowdown_.needs_refresh(loop_.now())) {
            slowdown_.observe(vm_slowdown, loop_.now());
        }
        take_decisions();
    });
}

void replay_member::start(std::uint64_t id)
{
    const auto entry = executions_.at(id);
    // The node polls an idle upstream before it sends work, so that the slowdown is always recent.
    slowdown_.observe(vm_slowdown, loop_.now());
    entry->started = true;
    entry->started_at = loop_.now();
    if (stalls_from > 0 && busy_ >= stalls_from) {
        return;
    }
    ++busy_;
    entry->occupies_slot = true;
    milliseconds time = work_time(*entry);
    int status = 200;
    if (fails_fast) {
        time = rejection_time;
        status = status_error;
    }
    else if (random_fraction() < rejected_share) {
        time = rejection_time;
        status = status_rejected;
    }
    loop_.after(time, [this, id, status] { respond(id, status); });
}

milliseconds replay_member::work_time(const execution& entry)
{
    std::lognormal_distribution<double> spread{-work_sigma * work_sigma / 2, work_sigma};
    const double full =
        std::max(0.0, busy_ - contention_start * slots) / ((1.0 - contention_start) * slots);
    const double cold = loop_.now() < warm_at ? cold_factor : 1.0;
    const double usual = std::strtod(entry.call.request.body.c_str(), nullptr);
    return milliseconds{usual * spread(random_) * vm_slowdown * unreported_slowdown * cold *
                        (1.0 + (max_contention_factor - 1.0) * full)};
}

double replay_member::random_fraction()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_);
}

void replay_member::respond(std::uint64_t id, int status)
{
    const auto found = executions_.find(id);
    if (found == executions_.end()) {
        return;
    }
    --busy_;
    slowdown_.observe(vm_slowdown, loop_.now());
    const milliseconds elapsed = loop_.now() - found->second->started_at;
    call_result result;
    if (status == status_rejected) {
        result = not_run(reason_code::upstream_refused);
        const bool has_free_slot = busy_ < slots;
        const bool counts = options_.adaptive_limit &&
                            (!has_free_slot || !options_.ignore_rejections_with_free_slots);
        finish(id, {counts ? sample_kind::shed : sample_kind::uninformative, elapsed}, result);
        return;
    }
    result.outcome = call_outcome::completed;
    result.reason = reason_code::none;
    result.response.status = status;
    const bool informs = options_.adaptive_limit && status < status_error;
    finish(id, {informs ? sample_kind::completed : sample_kind::uninformative, elapsed}, result);
}

void replay_member::finish(std::uint64_t id, const upstream_sample& sample, call_result result)
{
    const auto entry = executions_.extract(id).mapped();
    queue_.finish(id, sample, loop_.now());
    result.load = report();
    entry->done(std::move(result));
    take_decisions();
}

void replay_member::cancel(std::uint64_t id)
{
    const auto found = executions_.find(id);
    if (found == executions_.end()) {
        return;
    }
    const auto entry = found->second;
    executions_.erase(found);
    if (entry->started) {
        // The connection to the upstream is closed, which stops the work.
        busy_ -= entry->occupies_slot ? 1 : 0;
        queue_.finish(id, {}, loop_.now());
    }
    else {
        queue_.remove(id);
    }
    take_decisions();
}

void replay_member::refuse(const execution_ptr& entry, reason_code reason) const
{
    call_result result = not_run(reason);
    result.load = report();
    entry->done(std::move(result));
}

load_report replay_member::report() const
{
    load_report load = queue_.report(loop_.now());
    load.instance = instance();
    load.upstream_registered = true;
    load.pace = options_.follow_slowdown ? slowdown_.factor(loop_.now()) : 1.0;
    return load;
}

} // namespace chestnutstand::replay
