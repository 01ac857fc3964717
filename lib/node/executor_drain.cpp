// Refusals of an executor whose node or upstream ends, and of queued calls whose API key was
// removed.

#include "tenant_admission.h"

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

/// A call that would have less time than this until the node ends is not started: the next poll may
/// come as late, and the response has to reach the caller.
constexpr milliseconds min_time_to_run{50};

} // namespace

void executor::refuse_calls_beyond(time_point end)
{
    const std::lock_guard lock{mutex_};
    latest_deadline_ = end;
}

void executor::set_evacuated(bool evacuated)
{
    deferred_actions deferred;
    {
        const std::lock_guard lock{mutex_};
        if (std::exchange(evacuated_, evacuated) == evacuated) {
            return;
        }
        if (queue_ && evacuated) {
            refuse_queued(reason_code::data_centre_evacuated, deferred);
        }
        if (queue_ && !evacuated) {
            // The upstream got no calls and may have become cold.
            queue_->cold().forget();
        }
    }
    stats_.counter("chestnutstand_data_centre_evacuated") = evacuated ? 1 : 0;
    log_event(log_level::warning,
              evacuated ? "data centre of the node is evacuated"
                        : "data centre of the node is not evacuated any more",
              {});
    run_deferred(std::move(deferred));
}

void executor::begin_drain()
{
    const std::lock_guard lock{mutex_};
    draining_ = true;
    if (queue_) {
        queue_->drain();
    }
}

template <typename Predicate>
void executor::refuse_queued_if(Predicate is_refused, reason_code reason,
                                deferred_actions& deferred)
{
    for (auto it = executions_.begin(); it != executions_.end();) {
        const auto& execution = *it->second;
        if (execution.started || !is_refused(execution) || !queue_->remove(execution.id)) {
            ++it;
            continue;
        }
        discard_attempt(execution);
        deferred.refusals.push_back(
            {execution.done, execution.key, reason, report_locked(), execution.call.request_id});
        it = executions_.erase(it);
    }
}

void executor::refuse_queued(reason_code reason, deferred_actions& deferred)
{
    refuse_queued_if([](const call_execution& /*queued*/) { return true; }, reason, deferred);
}

void executor::refuse_removed_keys(deferred_actions& deferred)
{
    if (!queue_ || !std::exchange(keys_unchecked_, false)) {
        return;
    }
    refuse_queued_if(
        [this](const call_execution& queued) { return !admits_call(*applied_, queued.call); },
        reason_code::unknown_api_key, deferred);
}

/// Refuses the queued calls whose responses would come after the node has ended, as another node
/// may still run them.
void executor::refuse_unfinishable(time_point now, deferred_actions& deferred)
{
    if (latest_deadline_ == time_point::max()) {
        return;
    }
    const auto ends_too_late = [&](const call_execution& queued) {
        return now + std::max(usual_time_of(queued.call, now), min_time_to_run) > latest_deadline_;
    };
    refuse_queued_if(ends_too_late, reason_code::draining, deferred);
}

} // namespace chestnutstand
