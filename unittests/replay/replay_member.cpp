#include "replay_member.h"

#include "chestnutstand/config/document.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutstand::replay {
namespace {

constexpr double work_sigma = 0.5;
/// Share of the slots from which on work takes longer, and how much longer with all of them busy.
constexpr double knee = 0.8;
constexpr double factor_when_full = 2.0;
constexpr milliseconds rejection_time{0.5};
constexpr milliseconds expiry_step{5};
constexpr int status_error = 500;
constexpr int status_rejected = 503;

/// One class in the order of arrival.
service_config without_order(service_config service)
{
    milliseconds longest{0};
    for (const auto& each : service.priorities) {
        longest = std::max(longest, each.latency_target);
    }
    service.priorities = {{"all", longest, 1.0, true}};
    return service;
}

} // namespace

replay_member::replay_member(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                             const service_config& service, const policies& chosen,
                             std::uint64_t seed)
    : model_member{instance, data_centre}, loop_{loop}, policies_{chosen},
      queue_{chosen.by_urgency ? service : without_order(service), slots}, random_{seed}
{
}

bool replay_member::refuses(const service_call& call) const
{
    return policies_.follow_pace && call.movable && pace_.slow(loop_.now());
}

void replay_member::execute(const service_call& call, call_done done)
{
    const auto offered = std::make_shared<execution>();
    offered->call = call;
    offered->done = std::move(done);
    if (refuses(call)) {
        refuse(offered, reason_code::upstream_slow);
        return;
    }
    offered->priority = policies_.by_urgency ? queue_.find_priority(call.priority).value_or(0) : 0;
    const std::uint64_t id = ++last_id_;
    const auto result = queue_.offer(id, offered->priority, call.deadline, loop_.now());
    if (result.result == offer_state::refused) {
        refuse(offered, result.reason);
        return;
    }
    executions_[id] = offered;
    if (call.cancel && policies_.cancel_abandoned) {
        call.cancel->on_cancel([this, id] { cancel(id); });
    }
    if (result.result == offer_state::admitted) {
        start(id);
    }
    take_decisions();
}

void replay_member::take_decisions()
{
    if (policies_.follow_pace) {
        queue_.set_pace(pace_.slow(loop_.now()) ? pace_.factor(loop_.now()) : 1.0);
    }
    while (const auto decision = queue_.next(loop_.now())) {
        if (decision->starts()) {
            start(decision->id);
            continue;
        }
        const auto refused = executions_.extract(decision->id).mapped();
        refuse(refused, decision->refusal);
    }
    watch_expiry();
}

void replay_member::watch_expiry()
{
    if (expiry_watched_ || queue_.idle()) {
        return;
    }
    expiry_watched_ = true;
    loop_.after(expiry_step, [this] {
        expiry_watched_ = false;
        // A slow upstream is asked again, as without work it would not tell when it is back.
        if (pace_.needs_refresh(loop_.now())) {
            pace_.observe(pace, loop_.now());
        }
        take_decisions();
    });
}

void replay_member::start(std::uint64_t id)
{
    const auto started = executions_.at(id);
    // Reports are recent: the node asks the upstream before it sends work after a silence.
    pace_.observe(pace, loop_.now());
    started->started = true;
    started->started_at = loop_.now();
    if (mute_from > 0 && busy_ >= mute_from) {
        return;
    }
    ++busy_;
    started->occupies_slot = true;
    milliseconds time = work(*started);
    int status = 200;
    if (fails_fast) {
        time = rejection_time;
        status = status_error;
    }
    else if (roll() < rejected_share) {
        time = rejection_time;
        status = status_rejected;
    }
    loop_.after(time, [this, id, status] { answer(id, status); });
}

milliseconds replay_member::work(const execution& what)
{
    std::lognormal_distribution<double> spread{-work_sigma * work_sigma / 2, work_sigma};
    const double full = std::max(0.0, busy_ - knee * slots) / ((1.0 - knee) * slots);
    const double cold = loop_.now() < warm_at ? cold_factor : 1.0;
    const double usual = std::strtod(what.call.request.body.c_str(), nullptr);
    return milliseconds{usual * spread(random_) * pace * slowdown * cold *
                        (1.0 + (factor_when_full - 1.0) * full)};
}

double replay_member::roll()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_);
}

void replay_member::answer(std::uint64_t id, int status)
{
    const auto found = executions_.find(id);
    if (found == executions_.end()) {
        return;
    }
    --busy_;
    pace_.observe(pace, loop_.now());
    const milliseconds elapsed = loop_.now() - found->second->started_at;
    call_result result;
    if (status == status_rejected) {
        result = not_run(reason_code::upstream_refused);
        const bool has_room = busy_ < slots;
        const bool counts =
            policies_.adaptive_limit && (!has_room || !policies_.ignore_rejections_with_free_slots);
        finish(id, {counts ? sample_kind::shed : sample_kind::uninformative, elapsed}, result);
        return;
    }
    result.outcome = call_outcome::completed;
    result.reason = reason_code::none;
    result.response.status = status;
    const bool informs = policies_.adaptive_limit && status < status_error;
    finish(id, {informs ? sample_kind::completed : sample_kind::uninformative, elapsed}, result);
}

void replay_member::finish(std::uint64_t id, const upstream_sample& sample, call_result result)
{
    const auto ended = executions_.extract(id).mapped();
    queue_.finish(id, sample, loop_.now());
    result.load = report();
    ended->done(std::move(result));
    take_decisions();
}

void replay_member::cancel(std::uint64_t id)
{
    const auto found = executions_.find(id);
    if (found == executions_.end()) {
        return;
    }
    const auto gone = found->second;
    executions_.erase(found);
    if (gone->started) {
        // Its connection is closed; the upstream stops the work.
        busy_ -= gone->occupies_slot ? 1 : 0;
        queue_.finish(id, {}, loop_.now());
    }
    else {
        queue_.remove(id);
    }
    take_decisions();
}

void replay_member::refuse(const execution_ptr& refused, reason_code reason) const
{
    call_result result = not_run(reason);
    result.load = report();
    refused->done(std::move(result));
}

load_report replay_member::report() const
{
    load_report load = queue_.report();
    load.instance = instance();
    load.upstream_registered = true;
    load.pace = policies_.follow_pace ? pace_.factor(loop_.now()) : 1.0;
    return load;
}

} // namespace chestnutstand::replay
