#include "dispatcher_core.h"
#include "routed_call.h"

#include "chestnutstand/keys/attempt_ledger.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

/// Covers a new connection and one response, also across regions.
constexpr milliseconds settle_timeout{250};

/// An attempt is overdue after this multiple of the 95th percentile of its class, or before there
/// is one, after this share of the time that it has.
constexpr double overdue_per_percentile = 2.0;
constexpr double overdue_share_of_time = 0.25;
/// Leaves time for a second attempt.
constexpr double max_overdue_share_of_time = 0.5;
/// Lower bound of the time after which an attempt is overdue: that after which a member with a call
/// in flight counts as silent.
constexpr milliseconds min_overdue{150};

/// Result of an attempt from what its executor reports; empty while the call may still run.
std::optional<call_result> result_of(const settle_result& settled)
{
    if (settled.state == settle_state::completed) {
        return call_result{call_outcome::completed, reason_code::none, settled.response, {}};
    }
    if (settled.state == settle_state::fenced) {
        return not_run(settled.reason);
    }
    return std::nullopt;
}

/// Share of a drain's time before its end at which a call is withdrawn whose usual time is unknown,
/// and the largest one for all others.
constexpr double withdrawal_share_of_drain = 0.25;
constexpr double max_withdrawal_share_of_drain = 0.5;

} // namespace

/// Whether the executor of an attempt of a routed call can be asked for its outcome: it is another
/// node, and there is time to use the response.
bool dispatcher::core::may_be_settled(const dispatched_call& state,
                                      const dispatched_attempt& attempt) const
{
    return is_routed(state.call) && !attempt.ended &&
           attempt.target->node.instance != options_.self_instance &&
           options_.now() + settle_timeout < state.call.deadline;
}

/// Asks the executor for the outcome of an attempt whose connection was lost. A routed call has no
/// idempotency key; its request id stands in for one, in the request and in the reason key_fenced.
void dispatcher::core::settle(const call_state& state, const attempt_state& attempt)
{
    peers_.settle(
        attempt->target->node, attempt_key({state->call.request_id, queued_attempt::fence}),
        settle_timeout,
        [self = shared_from_this(), state, attempt](const absl::StatusOr<settle_result>& settled) {
            auto result = settled.ok() ? result_of(*settled) : std::nullopt;
            self->finish_attempt(state, attempt,
                                 result ? *std::move(result)
                                        : unknown_outcome(reason_code::peer_connection_lost));
        });
}

milliseconds dispatcher::core::overdue_delay(const dispatched_call& state)
{
    const auto percentile = selector_.hedge_delay(state.call.service, state.call.priority);
    const milliseconds left = state.call.deadline - options_.now();
    const milliseconds delay = percentile ? std::min(*percentile * overdue_per_percentile,
                                                     left * max_overdue_share_of_time)
                                          : left * overdue_share_of_time;
    return std::max(delay, min_overdue);
}

/// An open connection to another node can stop delivering data without an error. The end of the
/// connection is noticed too late for a second placement of a call with a short time limit, so that
/// the executor is asked over a new connection once a response is overdue.
void dispatcher::core::schedule_overdue_query(const call_state& state, const attempt_state& attempt,
                                              milliseconds delay)
{
    options_.run_after(delay, [self = shared_from_this(), attempt, delay,
                               weak_state = std::weak_ptr<dispatched_call>{state}] {
        if (const call_state pending = weak_state.lock()) {
            self->query_overdue(pending, attempt, delay);
        }
    });
}

void dispatcher::core::query_overdue(const call_state& state, const attempt_state& attempt,
                                     milliseconds delay)
{
    if (!may_be_settled(*state, *attempt)) {
        return;
    }
    if (!overdue_queries_.try_take(options_.now())) {
        return;
    }
    peers_.settle(attempt->target->node,
                  attempt_key({state->call.request_id, queued_attempt::keep}), settle_timeout,
                  [self = shared_from_this(), state, attempt,
                   delay](const absl::StatusOr<settle_result>& settled) {
                      if (settled.ok()) {
                          self->finish_overdue_query(state, attempt, *settled, delay);
                      }
                  });
}

void dispatcher::core::finish_overdue_query(const call_state& state, const attempt_state& attempt,
                                            const settle_result& settled, milliseconds delay)
{
    if (settled.state == settle_state::running) {
        schedule_overdue_query(state, attempt, delay);
        return;
    }
    auto result = result_of(settled);
    if (!result && settled.state == settle_state::unknown && state->idempotent) {
        // The call has ended and its response was lost.
        result = unknown_outcome(reason_code::peer_connection_lost);
    }
    if (!result) {
        return;
    }
    if (result->outcome != call_outcome::completed) {
        const std::lock_guard lock{state->mutex};
        state->fresh_connections = true;
    }
    finish_attempt(state, attempt, *std::move(result));
    // Closes the connection, which lost the request or the response.
    attempt->cancel->cancel();
}

void dispatcher::core::begin_drain(time_point cutoff)
{
    std::vector<call_state> pending;
    {
        const std::lock_guard lock{calls_mutex_};
        drain_cutoff_ = cutoff;
        for (const auto& [address, weak_state] : calls_) {
            if (auto state = weak_state.lock()) {
                pending.push_back(std::move(state));
            }
        }
    }
    for (const call_state& state : pending) {
        schedule_withdrawal(state, cutoff);
    }
}

/// A call that waits at another node is withdrawn once it could not be completed any more if it
/// started, and once more in case the first query is lost.
void dispatcher::core::schedule_withdrawal(const call_state& state, time_point cutoff)
{
    if (!options_.run_after || !is_routed(state->call)) {
        return;
    }
    const milliseconds left = std::max(cutoff - options_.now(), milliseconds{0});
    const auto usual_time = selector_.hedge_delay(state->call.service, state->call.priority);
    const milliseconds lead = usual_time
                                  ? std::min(*usual_time, left * max_withdrawal_share_of_drain)
                                  : left * withdrawal_share_of_drain;
    for (const milliseconds before_cutoff :
         {std::max(lead, settle_timeout * 2.0), settle_timeout}) {
        options_.run_after(
            std::max(left - before_cutoff, milliseconds{0}),
            [self = shared_from_this(), weak_state = std::weak_ptr<dispatched_call>{state}] {
                if (const call_state pending = weak_state.lock()) {
                    self->withdraw(pending);
                }
            });
    }
}

void dispatcher::core::withdraw(const call_state& state)
{
    std::vector<attempt_state> attempts;
    {
        const std::lock_guard lock{state->mutex};
        if (state->finished) {
            return;
        }
        state->withdrawn = true;
        attempts = state->attempts;
    }
    for (const attempt_state& attempt : attempts) {
        if (may_be_settled(*state, *attempt)) {
            withdraw_attempt(state, attempt);
        }
    }
}

/// Fences the attempt at its executor. An attempt that has started goes on.
void dispatcher::core::withdraw_attempt(const call_state& state, const attempt_state& attempt)
{
    peers_.settle(
        attempt->target->node, attempt_key({state->call.request_id, queued_attempt::fence}),
        settle_timeout,
        [self = shared_from_this(), state, attempt](const absl::StatusOr<settle_result>& settled) {
            auto result = settled.ok() ? result_of(*settled) : std::nullopt;
            if (!result) {
                return;
            }
            if (result->reason == reason_code::key_fenced) {
                result->reason = reason_code::draining;
            }
            self->finish_attempt(state, attempt, *std::move(result));
            // Removes the fenced call from the queue, or closes the connection that lost the
            // response.
            attempt->cancel->cancel();
        });
}

} // namespace chestnutstand
