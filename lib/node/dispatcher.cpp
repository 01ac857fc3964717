#include "chestnutstand/node/dispatcher.h"

#include "attempt_result.h"
#include "dispatcher_core.h"
#include "routed_call.h"
#include "tenant_admission.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace chestnutstand {
namespace {

/// Maximum attempts of one dispatched call, including the first. Also bounds the attempts that
/// never reach an upstream and therefore do not consume the retry budget of the call tree.
constexpr std::size_t attempt_limit = 6;

/// A call that has been sent to this many members waits for an upstream that is slow or limits its
/// rate instead of being moved to another member.
constexpr std::size_t move_limit = 4;

constexpr milliseconds probe_timeout{300};

template <typename Entry>
const Entry* find_named(const std::vector<Entry>& entries, std::string_view name)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [name](const Entry& entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

/// Returns true if the result is a response that is passed to the caller at once. Another result is
/// a failure: it ends the call only if no attempt is in flight and retry() starts no further one.
bool is_final_response(const dispatched_call& state, const call_result& result)
{
    return result.outcome == call_outcome::completed &&
           !(state.idempotent && is_transient_failure(result.response));
}

/// Keeps the failure to report if no later attempt succeeds. An attempt that may have run takes
/// precedence over a later refusal, because the call as a whole may then have run.
void keep_failure(dispatched_call& state, call_result result)
{
    const auto weight = [](call_outcome value) {
        return value == call_outcome::completed ? 2 : value == call_outcome::unknown ? 1 : 0;
    };
    if (!state.failure || weight(result.outcome) >= weight(state.failure->outcome)) {
        state.failure = std::move(result);
    }
}

void log_result(const dispatched_call& state, const call_result& result)
{
    const bool completed = result.outcome == call_outcome::completed;
    log_event(log_level::info, "call answered",
              {{"request_id", state.call.request_id},
               {"tenant", state.call.tenant},
               {"service", state.call.service},
               {"class", state.call.priority},
               {"document_version", state.document_version},
               {"outcome", std::string{to_string(result.outcome)}},
               {"reason", std::string{to_string(result.reason)}},
               {"status", std::int64_t{completed ? result.response.status : 0}},
               {"attempts", state.history},
               {"placements", std::uint64_t{state.placements}},
               {"elapsed_ms", (ms_clock::now() - state.started).count()},
               {"left_ms", (state.call.deadline - ms_clock::now()).count()}});
}

/// Cancels the attempts that are still in flight after another attempt has ended the call, so that
/// their upstreams can abandon them.
void cancel_other_attempts(dispatched_call& state)
{
    std::vector<std::shared_ptr<dispatched_attempt>> attempts;
    {
        const std::lock_guard lock{state.mutex};
        if (state.attempts_in_flight == 0) {
            return;
        }
        attempts.swap(state.attempts);
    }
    for (const auto& attempt : attempts) {
        attempt->cancel->cancel();
    }
}

} // namespace

dispatcher::core::core(peer_client& peers, local_executor* local,
                       const snapshot<routing_table>& routes,
                       const snapshot<document>& configuration, metrics& counters,
                       const dispatcher_options& options)
    : peers_{peers}, local_{local}, configuration_{configuration}, counters_{counters},
      hedges_{counters.counter("chestnutstand_hedges_total")},
      probes_{counters.counter("chestnutstand_peer_probes_total")}, options_{options},
      selector_{routes, configuration, static_cast<const selector_options&>(options)},
      overdue_queries_{options.now()}
{
}

void dispatcher::core::refuse(reason_code reason, const call_done& done)
{
    counters_.count(reason_event::refused, reason);
    done(not_run(reason));
}

void dispatcher::core::dispatch(const service_call& call, call_done done)
{
    const std::shared_ptr<const document> configuration = configuration_.load();
    if (!configuration) {
        refuse(reason_code::no_configuration, done);
        return;
    }
    // The document may have changed since the ingress read it.
    if (!admits_key(*configuration, call)) {
        refuse(reason_code::unknown_api_key, done);
        return;
    }
    const service_config* service = find_named(configuration->services, call.service);
    if (service == nullptr) {
        refuse(reason_code::unknown_service, done);
        return;
    }
    const priority_config* priority = find_named(service->priorities, call.priority);
    const bool keyed = !call.idempotency_key.empty();
    const bool routed = is_routed(call);
    const bool idempotent = routed ? call.repeat == repeatability::repeatable
                                   : !keyed && priority != nullptr && priority->idempotent;
    if (!routed && !keyed && !idempotent) {
        refuse(reason_code::key_required, done);
        return;
    }
    const auto state = std::make_shared<dispatched_call>(call, std::move(done), idempotent);
    state->document_version = configuration->version;
    std::optional<time_point> drain_cutoff;
    {
        const std::lock_guard lock{calls_mutex_};
        calls_.emplace(state.get(), state);
        drain_cutoff = drain_cutoff_;
    }
    if (routed) {
        schedule_time_limit(state);
    }
    if (!start_attempt(state)) {
        counters_.count(reason_event::refused, reason_code::no_route);
        complete(state, not_run(reason_code::no_route));
        return;
    }
    if (drain_cutoff) {
        schedule_withdrawal(state, *drain_cutoff);
    }
    schedule_hedge(state);
    probe_stale_member(call.service);
}

void dispatcher::core::complete(const call_state& state, call_result result)
{
    {
        const std::lock_guard lock{calls_mutex_};
        calls_.erase(state.get());
    }
    if (is_routed(state->call)) {
        log_result(*state, result);
    }
    state->done(std::move(result));
}

/// Completes the call at its deadline whatever the state of its attempts. The attempts are not
/// cancelled: each carries the same deadline, and its own result says more about the member than a
/// closed connection does.
void dispatcher::core::schedule_time_limit(const call_state& state)
{
    if (!options_.run_after) {
        return;
    }
    options_.run_after(
        state->call.deadline - options_.now(),
        [self = shared_from_this(), weak_state = std::weak_ptr<dispatched_call>{state}] {
            const call_state expired = weak_state.lock();
            if (!expired) {
                return;
            }
            {
                const std::lock_guard lock{expired->mutex};
                if (std::exchange(expired->finished, true)) {
                    return;
                }
            }
            self->complete(expired, unknown_outcome(reason_code::time_limit));
        });
}

/// Returns the version of the document in force if that admits the call's key, else nullopt. A call
/// without a key keeps its version, by which the executor sees whether it may need one now.
std::optional<std::uint64_t> dispatcher::core::admitting_version(const service_call& call) const
{
    if (call.tenant.empty()) {
        return call.document_version;
    }
    const std::shared_ptr<const document> in_force = configuration_.load();
    if (!in_force || !admits_key(*in_force, call)) {
        return std::nullopt;
    }
    return in_force->version;
}

/// Sends the call to a member that has not been tried yet. Returns false if there is none, or if
/// the attempts of the call or the budget of its call tree are used up. attempt_budget is the part
/// of the tree's budget that the attempt carries to the upstream. The budget of the service is
/// separate: retry() and hedge() take a token of it with take_retry() before.
bool dispatcher::core::start_attempt(const call_state& state)
{
    const auto attempt = std::make_shared<dispatched_attempt>();
    bool movable = false;
    bool fresh_connection = false;
    const std::optional<std::uint64_t> admitted_by = admitting_version(state->call);
    if (!admitted_by) {
        return false;
    }
    {
        const std::lock_guard lock{state->mutex};
        if (state->finished || state->withdrawn || state->placements >= attempt_limit) {
            return false;
        }
        const std::optional<std::uint32_t> carried = state->budget.start();
        if (!carried) {
            return false;
        }
        attempt->budget = *carried;
        const service_call& call = state->call;
        const auto choose = [&] {
            return selector_.choose({call.service, call.priority, state->own_data_centre_only},
                                    state->tried_members, state->queue_refusals);
        };
        const auto choose_or_defer = [&] {
            auto chosen = choose();
            return chosen || !state->allow_deferring_members() ? chosen : choose();
        };
        attempt->target = choose_or_defer();
        if (!attempt->target && state->leave_data_centre()) {
            attempt->target = choose_or_defer();
        }
        if (!attempt->target) {
            state->budget.give_back(attempt->budget);
            return false;
        }
        ++state->placements;
        state->tried_members.push_back(attempt->target->node.instance);
        fresh_connection =
            state->fresh_connections && attempt->target->node.instance != options_.self_instance;
        movable =
            is_routed(call) && !state->deferring_members_allowed && state->placements < move_limit;
        state->attempts.push_back(attempt);
        ++state->attempts_in_flight;
    }
    if (state->call.cancel) {
        state->call.cancel->on_cancel([cancel = attempt->cancel] { cancel->cancel(); });
    }
    service_call sent = state->call;
    sent.movable = movable;
    sent.document_version = *admitted_by;
    sent.request.fresh_connection = fresh_connection;
    send(attempt->target, std::move(sent), attempt->budget, attempt->cancel,
         [self = shared_from_this(), state, attempt](call_result result) {
             if (needs_settlement(result, state->idempotent) &&
                 self->may_be_settled(*state, *attempt)) {
                 self->settle(state, attempt);
                 return;
             }
             self->finish_attempt(state, attempt, std::move(result));
         });
    if (options_.run_after && may_be_settled(*state, *attempt)) {
        schedule_overdue_query(state, attempt, overdue_delay(*state));
    }
    return true;
}

void dispatcher::core::finish_attempt(const call_state& state, const attempt_state& attempt,
                                      call_result result)
{
    if (attempt->ended.exchange(true)) {
        return;
    }
    const bool ends_call = is_final_response(*state, result);
    {
        const std::lock_guard lock{state->mutex};
        --state->attempts_in_flight;
        if (state->finished) {
            return;
        }
        state->note_attempt(result, attempt->target->node.instance);
        state->queue_refusals += refused_by_queue(result) ? 1 : 0;
        if (defers_call(result) && result.load) {
            state->deferring_members.push_back(result.load->instance);
        }
        if (!reached_upstream(result)) {
            state->budget.give_back(attempt->budget);
        }
        state->finished = ends_call;
        if (!ends_call) {
            keep_failure(*state, result);
            if (state->attempts_in_flight > 0) {
                return;
            }
        }
    }
    if (ends_call) {
        complete(state, std::move(result));
        cancel_other_attempts(*state);
        return;
    }
    if (retry(state, result)) {
        return;
    }
    {
        const std::lock_guard lock{state->mutex};
        if (state->finished || state->attempts_in_flight > 0) {
            return;
        }
        state->finished = true;
    }
    complete(state, std::move(*state->failure));
}

bool dispatcher::core::retry(const call_state& state, const call_result& result)
{
    if (result.outcome != call_outcome::not_run && !state->idempotent) {
        return false;
    }
    if (result.reason == reason_code::caller_gone || options_.now() >= state->call.deadline) {
        return false;
    }
    // Another node has a newer document, in which the key of the call is no longer listed.
    if (result.outcome == call_outcome::not_run && result.reason == reason_code::unknown_api_key) {
        return false;
    }
    // An attempt that was refused before it reached an upstream adds no load there: moving the call
    // to another member is still one upstream request, so it takes nothing from the budget of the
    // service; finish_attempt() has given its part of the call tree's budget back.
    const bool uses_service_budget = reached_upstream(result);
    if (uses_service_budget && !selector_.take_retry(state->call.service)) {
        counters_.count(reason_event::refused, reason_code::retry_budget_exhausted);
        return false;
    }
    if (!start_attempt(state)) {
        if (uses_service_budget) {
            selector_.give_back_retry(state->call.service);
        }
        return false;
    }
    counters_.count(reason_event::retried, result.reason);
    return true;
}

void dispatcher::core::schedule_hedge(const call_state& state)
{
    if (!options_.run_after || !state->idempotent) {
        return;
    }
    const auto delay = selector_.hedge_delay(state->call.service, state->call.priority);
    if (!delay || options_.now() + *delay >= state->call.deadline) {
        return;
    }
    // A weak pointer, so that a pending timer does not keep the body of a finished call in memory.
    options_.run_after(
        *delay, [self = shared_from_this(), weak_state = std::weak_ptr<dispatched_call>{state}] {
            if (const call_state pending = weak_state.lock()) {
                self->hedge(pending);
            }
        });
}

void dispatcher::core::hedge(const call_state& state)
{
    {
        const std::lock_guard lock{state->mutex};
        if (state->finished || state->attempts_in_flight != 1 || state->budget.exhausted()) {
            return;
        }
        // The first attempt may wait on a silent connection, and others may be silent as well.
        state->fresh_connections = true;
    }
    if (!selector_.take_retry(state->call.service)) {
        counters_.count(reason_event::refused, reason_code::retry_budget_exhausted);
        return;
    }
    if (!start_attempt(state)) {
        selector_.give_back_retry(state->call.service);
        return;
    }
    hedges_.fetch_add(1);
}

void dispatcher::core::send(const std::shared_ptr<peer>& target, service_call attempt,
                            std::uint32_t attempt_budget,
                            const std::shared_ptr<cancellation>& cancel, call_done done)
{
    attempt.retry_budget = attempt_budget;
    attempt.cancel = cancel;
    if (!is_routed(attempt)) {
        attempt.request_id = std::to_string(options_.self_instance) + "-" +
                             std::to_string(next_request_.fetch_add(1));
    }
    const time_point sent = options_.now();
    target->load.begin_call(sent);
    call_done record_result = [self = shared_from_this(), target, service = attempt.service,
                               priority = attempt.priority, cancel, sent,
                               done = std::move(done)](call_result result) {
        if (result.outcome == call_outcome::unknown && cancel && cancel->cancelled()) {
            // The dispatcher or the caller cancelled the attempt; its result says nothing about the
            // member.
            result.reason = reason_code::caller_gone;
        }
        self->selector_.record_result(*target, service, priority, result, sent);
        done(std::move(result));
    };
    if (local_ != nullptr && target->node.instance == options_.self_instance) {
        local_->execute(attempt, std::move(record_result));
        return;
    }
    peers_.execute(target->node, attempt, std::move(record_result));
}

void dispatcher::core::probe_stale_member(const std::string& service)
{
    const std::shared_ptr<peer> target = selector_.take_probe_target(service);
    if (!target) {
        return;
    }
    probes_.fetch_add(1);
    const time_point sent = options_.now();
    peers_.probe(target->node, probe_timeout,
                 [self = shared_from_this(), target, service,
                  sent](const absl::StatusOr<load_report>& report) {
                     self->selector_.record_probe(
                         *target, service, report.ok() ? std::optional{*report} : std::nullopt,
                         sent);
                 });
}

dispatcher::dispatcher(peer_client& peers, local_executor* local,
                       const snapshot<routing_table>& routes,
                       const snapshot<document>& configuration, metrics& counters,
                       const dispatcher_options& options)
    : core_{std::make_shared<core>(peers, local, routes, configuration, counters, options)}
{
}

dispatcher::~dispatcher() = default;

void dispatcher::dispatch(const service_call& call, call_done done)
{
    core_->dispatch(call, std::move(done));
}

void dispatcher::begin_drain(time_point cutoff)
{
    core_->begin_drain(cutoff);
}

void dispatcher::execute_on(const node_reference& target, const service_call& call, call_done done)
{
    core_->execute_on(target, call, std::move(done));
}

std::vector<node_reference> dispatcher::rank(const std::string& service, std::string_view priority,
                                             std::vector<node_reference> candidates)
{
    return core_->selector().sort_by_cost(service, priority, std::move(candidates));
}

std::vector<node_reference> dispatcher::choose_distinct(const std::string& service,
                                                        std::string_view priority,
                                                        std::size_t count)
{
    return core_->selector().choose_distinct(service, priority, count);
}

void dispatcher::set_retry_limits(const std::optional<fleet_retry_limits>& limits)
{
    core_->selector().set_retry_limits(limits);
}

} // namespace chestnutstand
