// Decides which calls enter the executor's queue, and starts or refuses those that leave it.

#include "request_tenant.h"
#include "routed_call.h"
#include "tenant_admission.h"

#include "chestnutstand/node/executor.h"

#include <memory>
#include <string_view>
#include <utility>

namespace chestnutstand {

std::optional<reason_code> executor::refusal_reason(std::uint64_t target_instance,
                                                    const service_call& call, time_point now)
{
    if (target_instance != instance_) {
        return reason_code::wrong_instance;
    }
    if (evacuated_) {
        return reason_code::data_centre_evacuated;
    }
    if (draining_ || (is_routed(call) && call.deadline > latest_deadline_)) {
        return reason_code::draining;
    }
    if (!upstream_ || upstream_->service != call.service || now >= lease_end_) {
        return reason_code::no_upstream;
    }
    if (!queue_) {
        return reason_code::no_configuration;
    }
    if (!admits_call(*applied_, call)) {
        return reason_code::unknown_api_key;
    }
    if (call.deadline <= now) {
        return reason_code::deadline_exceeded;
    }
    const auto priority = find_class(call);
    if (!priority) {
        return reason_code::unknown_priority;
    }
    if (call.movable && slowdown_.slow(now)) {
        return reason_code::upstream_slow;
    }
    if (call.movable && queue_->is_delayed_by_rate_limit(*priority, now)) {
        return queue_->is_cold_limit(now) ? reason_code::upstream_cold
                                          : reason_code::upstream_rate_limited;
    }
    return std::nullopt;
}

// The class of a routed call is named rank-N/T after the rank N and the latency target T of its
// route; the lower the rank, the more urgent is the class. The sender may use a newer or older
// document, whose routes define other classes. Its call is then queued in the first class with the
// prefix rank-N/, or in the least urgent class if there is none. A name without a slash gives an
// empty prefix, which every class has, and so the first class.
std::optional<std::size_t> executor::find_class(const service_call& call) const
{
    const auto found = queue_->find_priority(call.priority);
    if (found || !is_routed(call)) {
        return found;
    }
    const auto end = call.priority.find('/');
    return queue_->find_fallback_priority(std::string_view{call.priority}.substr(0, end + 1));
}

void executor::enter_queue(call_execution_ptr execution, time_point now, deferred_actions& deferred)
{
    const auto priority = find_class(execution->call).value();
    // A routed call has no idempotency key; key_running refers to its request id, which is fenced
    // or belongs to another copy of the call.
    if (is_routed(execution->call) &&
        !attempts_.admit(execution->call.request_id, now, !runs_at_most_once(execution->call))) {
        deferred.refusals.push_back({execution->done, execution->key, reason_code::key_running,
                                     report_locked(), execution->call.request_id});
        return;
    }
    const auto offered =
        queue_->offer(execution->id, priority, execution->call.deadline, now, execution->call.due);
    if (offered.result == offer_state::refused) {
        discard_attempt(*execution);
        deferred.refusals.push_back({execution->done, execution->key, offered.reason,
                                     report_locked(), execution->call.request_id});
        return;
    }
    executions_[execution->id] = execution;
    // offer_state::admitted means that the call starts now; otherwise it is queued.
    if (offered.result == offer_state::admitted) {
        start(execution, now, deferred);
    }
    apply_queue_decisions(now, deferred);
    deferred.accepted = std::move(execution);
}

void executor::apply_queue_decisions(time_point now, deferred_actions& deferred)
{
    if (!queue_) {
        return;
    }
    if (now >= lease_end_) {
        refuse_queued(reason_code::no_upstream, deferred);
    }
    refuse_unfinishable(now, deferred);
    update_abandoned(now);
    while (const auto decision = queue_->next(now)) {
        const auto found = executions_.find(decision->id);
        const auto execution = found->second;
        if (decision->starts()) {
            start(execution, now, deferred);
            continue;
        }
        executions_.erase(found);
        discard_attempt(*execution);
        deferred.refusals.push_back({execution->done, execution->key, decision->refusal,
                                     report_locked(), execution->call.request_id});
    }
}

void executor::start(const call_execution_ptr& execution, time_point now,
                     deferred_actions& deferred)
{
    if (try_mark_started(*execution)) {
        deferred.to_send.push_back(execution);
        return;
    }
    queue_->finish(execution->id, {}, now);
    executions_.erase(execution->id);
    if (!admits_call(*applied_, execution->call)) {
        discard_attempt(*execution);
        deferred.refusals.push_back({execution->done, execution->key, reason_code::unknown_api_key,
                                     report_locked(), execution->call.request_id});
        return;
    }
    // key_fenced refers to the request id here: a routed call has no idempotency key.
    if (is_routed(execution->call)) {
        deferred.refusals.push_back({execution->done, execution->key, reason_code::key_fenced,
                                     report_locked(), execution->call.request_id});
    }
}

// The last checks before a call is sent to the upstream. They run in the critical section that
// marks the call as started; a started call can no longer be refused. The fencing of a key has
// already completed the call, the fencing of a request id has not.
bool executor::try_mark_started(call_execution& execution)
{
    if (!admits_call(*applied_, execution.call)) {
        return false;
    }
    if (execution.key && !keys_.start(*execution.key)) {
        return false;
    }
    if (is_routed(execution.call) &&
        !attempts_.start(execution.call.request_id, !runs_at_most_once(execution.call))) {
        return false;
    }
    // The entry node forwards credentials while its document requires no keys.
    remove_credentials(execution.call.request.headers, *applied_);
    execution.upstream = *upstream_;
    execution.rate_limit = statement_.rate_limit();
    execution.started = true;
    execution.started_at = ms_clock::now();
    return true;
}

void executor::discard_attempt(const call_execution& execution)
{
    if (is_routed(execution.call)) {
        attempts_.refuse(execution.call.request_id);
    }
}

} // namespace chestnutstand
