#include "chestnutstand/node/dispatcher.h"

#include "attempt_result.h"
#include "dispatched_call.h"

#include "chestnutstand/keys/attempt_ledger.h"
#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace chestnutstand {
namespace {

/// Attempts of one dispatched call, the first included. Also bounds the attempts that reach no
/// upstream and therefore do not draw on the budget of the call tree.
constexpr std::size_t attempt_limit = 6;

/// Placements after which a call waits for a slow upstream instead of being moved on.
constexpr std::size_t move_limit = 4;

constexpr milliseconds probe_timeout{300};

/// A new connection and one answer, also across regions.
constexpr milliseconds settle_timeout{250};

template <typename Named>
const Named* find_named(const std::vector<Named>& entries, std::string_view name)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [name](const Named& entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

/// Whether the result ends the call, so that no attempt can do better.
bool is_final(const dispatched_call& running, const call_result& result)
{
    return result.outcome == call_outcome::completed &&
           !(running.idempotent && is_transient_failure(result.response));
}

/// Keeps the result to report when no further attempt does better. An attempt that may have run
/// outweighs a later refusal: the call as a whole is not known to be not run.
void keep_failure(dispatched_call& running, call_result result)
{
    const auto weight = [](call_outcome value) {
        return value == call_outcome::completed ? 2 : value == call_outcome::unknown ? 1 : 0;
    };
    if (!running.failure || weight(result.outcome) >= weight(running.failure->outcome)) {
        running.failure = std::move(result);
    }
}

/// Gives the caller its answer, with one log line that says how it came about.
void answer(dispatched_call& ended, call_result result)
{
    if (ended.call.repeat != repeatability::by_class) {
        const bool completed = result.outcome == call_outcome::completed;
        log_event(log_level::info, "call answered",
                  {{"request_id", ended.call.request_id},
                   {"service", ended.call.service},
                   {"class", ended.call.priority},
                   {"document_version", ended.document_version},
                   {"outcome", std::string{to_string(result.outcome)}},
                   {"reason", std::string{to_string(result.reason)}},
                   {"status", std::int64_t{completed ? result.response.status : 0}},
                   {"attempts", ended.history},
                   {"placements", std::uint64_t{ended.placements}},
                   {"elapsed_ms", (ms_clock::now() - ended.started).count()},
                   {"left_ms", (ended.call.deadline - ms_clock::now()).count()}});
    }
    ended.done(std::move(result));
}

/// Ends attempts that lost against a hedge; their upstreams need not finish them.
void cancel_other_attempts(dispatched_call& running)
{
    std::vector<std::shared_ptr<cancellation>> cancels;
    {
        const std::lock_guard lock{running.mutex};
        if (running.running == 0) {
            return;
        }
        cancels.swap(running.cancels);
    }
    for (const std::shared_ptr<cancellation>& attempt : cancels) {
        attempt->cancel();
    }
}

} // namespace

class dispatcher::core : public std::enable_shared_from_this<core> {
public:
    core(peer_client& peers, local_executor* local, const snapshot<routing_table>& routes,
         const snapshot<document>& configuration, metrics& counters,
         const dispatcher_options& options)
        : peers_{peers}, local_{local}, configuration_{configuration}, counters_{counters},
          hedges_{counters.counter("chestnutstand_hedges_total")},
          probes_{counters.counter("chestnutstand_peer_probes_total")}, options_{options},
          selector_{routes, configuration, static_cast<const selector_options&>(options)}
    {
    }

    void dispatch(const service_call& call, call_done done);
    void execute_on(const node_reference& target, const service_call& call, call_done done)
    {
        send(selector_.find(call.service, target), call, call.retry_budget, false, call.cancel,
             std::move(done));
    }
    upstream_selector& selector() { return selector_; }

private:
    using call_state = std::shared_ptr<dispatched_call>;

    void refuse(reason_code reason, const call_done& done);
    bool start_attempt(const call_state& running);
    void finish_attempt(const call_state& running, std::uint32_t carried, std::uint64_t member,
                        call_result result);
    bool needs_settlement(const dispatched_call& running, const peer& target,
                          const call_result& result) const;
    void settle(const call_state& running, std::uint32_t carried, const node_reference& target);
    bool retry(const call_state& running, const call_result& result);
    void schedule_time_limit(const call_state& running);
    void schedule_hedge(const call_state& running);
    void hedge(const call_state& running);
    void send(const std::shared_ptr<peer>& target, const service_call& call, std::uint32_t carried,
              bool movable, const std::shared_ptr<cancellation>& cancel, call_done done);
    void probe_stale_member(const std::string& service);

    peer_client& peers_;
    local_executor* local_;
    const snapshot<document>& configuration_;
    metrics& counters_;
    std::atomic<std::uint64_t>& hedges_;
    std::atomic<std::uint64_t>& probes_;
    const dispatcher_options options_;
    upstream_selector selector_;
    std::atomic<std::uint64_t> next_request_{1};
};

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
    const service_config* service = find_named(configuration->services, call.service);
    if (service == nullptr) {
        refuse(reason_code::unknown_service, done);
        return;
    }
    const priority_config* priority = find_named(service->priorities, call.priority);
    const bool keyed = !call.idempotency_key.empty();
    const bool by_class = call.repeat == repeatability::by_class;
    const bool idempotent = by_class ? !keyed && priority != nullptr && priority->idempotent
                                     : call.repeat == repeatability::repeatable;
    if (by_class && !keyed && !idempotent) {
        refuse(reason_code::key_required, done);
        return;
    }
    const auto running = std::make_shared<dispatched_call>(call, std::move(done), idempotent);
    running->document_version = configuration->version;
    if (!start_attempt(running)) {
        refuse(reason_code::no_route, running->done);
        return;
    }
    if (!by_class) {
        schedule_time_limit(running);
    }
    schedule_hedge(running);
    probe_stale_member(call.service);
}

/// Answers a caller at the end of its time whatever the attempts do. They are not cancelled: each
/// carries the same deadline, and its end tells more than a closed connection.
void dispatcher::core::schedule_time_limit(const call_state& running)
{
    if (!options_.run_after) {
        return;
    }
    options_.run_after(running->call.deadline - options_.now(),
                       [waiting = std::weak_ptr<dispatched_call>{running}] {
                           const call_state late = waiting.lock();
                           if (!late) {
                               return;
                           }
                           {
                               const std::lock_guard lock{late->mutex};
                               if (std::exchange(late->finished, true)) {
                                   return;
                               }
                           }
                           answer(*late, unknown_outcome(reason_code::time_limit));
                       });
}

/// Sends the call to a member that has not had it yet; false when there is none or the budget of
/// the call tree is used up.
bool dispatcher::core::start_attempt(const call_state& running)
{
    std::shared_ptr<peer> target;
    std::uint32_t carried = 0;
    bool movable = false;
    const bool by_class = running->call.repeat == repeatability::by_class;
    const auto cancel = std::make_shared<cancellation>();
    {
        const std::lock_guard lock{running->mutex};
        if (running->finished || running->placements >= attempt_limit) {
            return false;
        }
        const std::optional<std::uint32_t> part = running->budget.start();
        if (!part) {
            return false;
        }
        carried = *part;
        const service_call& call = running->call;
        const auto choose = [&] {
            return selector_.choose(call.service, call.priority, running->tried,
                                    running->queue_refusals);
        };
        target = choose();
        if (!target && running->allow_slow_members()) {
            target = choose();
        }
        if (!target) {
            running->budget.give_back(carried);
            return false;
        }
        ++running->placements;
        running->tried.push_back(target->node.instance);
        movable = !by_class && !running->slow_members_allowed && running->placements < move_limit;
        running->cancels.push_back(cancel);
        ++running->running;
    }
    if (running->call.cancel) {
        running->call.cancel->on_cancel([cancel] { cancel->cancel(); });
    }
    send(target, running->call, carried, movable, cancel,
         [self = shared_from_this(), running, carried, target](call_result result) {
             if (self->needs_settlement(*running, *target, result)) {
                 self->settle(running, carried, target->node);
                 return;
             }
             self->finish_attempt(running, carried, target->node.instance, std::move(result));
         });
    return true;
}

/// Whether the executor can tell what became of a call whose answer was lost with its connection.
bool dispatcher::core::needs_settlement(const dispatched_call& running, const peer& target,
                                        const call_result& result) const
{
    return running.call.repeat == repeatability::at_most_once &&
           result.reason == reason_code::peer_connection_lost &&
           target.node.instance != options_.self_instance &&
           options_.now() + settle_timeout < running.call.deadline;
}

void dispatcher::core::settle(const call_state& running, std::uint32_t carried,
                              const node_reference& target)
{
    peers_.settle(target, attempt_key(running->call.request_id), settle_timeout,
                  [self = shared_from_this(), running, carried,
                   member = target.instance](absl::StatusOr<settle_result> settled) {
                      call_result result = unknown_outcome(reason_code::peer_connection_lost);
                      if (settled.ok() && settled->state == settle_state::completed) {
                          result = {call_outcome::completed,
                                    reason_code::none,
                                    std::move(settled->response),
                                    {}};
                      }
                      else if (settled.ok() && settled->state == settle_state::fenced) {
                          result = not_run(reason_code::key_fenced);
                      }
                      self->finish_attempt(running, carried, member, std::move(result));
                  });
}

void dispatcher::core::finish_attempt(const call_state& running, std::uint32_t carried,
                                      std::uint64_t member, call_result result)
{
    const bool ends_call = is_final(*running, result);
    {
        const std::lock_guard lock{running->mutex};
        --running->running;
        if (running->finished) {
            return;
        }
        running->note_attempt(result, member);
        running->queue_refusals += refused_by_queue(result) ? 1 : 0;
        if (result.reason == reason_code::upstream_slow && result.load) {
            running->slow.push_back(result.load->instance);
        }
        if (!reached_upstream(result)) {
            running->budget.give_back(carried);
        }
        running->finished = ends_call;
        if (!ends_call) {
            keep_failure(*running, result);
            if (running->running > 0) {
                return;
            }
        }
    }
    if (ends_call) {
        answer(*running, std::move(result));
        cancel_other_attempts(*running);
        return;
    }
    if (retry(running, result)) {
        return;
    }
    {
        const std::lock_guard lock{running->mutex};
        if (running->finished || running->running > 0) {
            return;
        }
        running->finished = true;
    }
    answer(*running, std::move(*running->failure));
}

bool dispatcher::core::retry(const call_state& running, const call_result& result)
{
    if (result.outcome != call_outcome::not_run && !running->idempotent) {
        return false;
    }
    if (result.reason == reason_code::caller_gone || options_.now() >= running->call.deadline) {
        return false;
    }
    // A refusal before the upstream has cost it nothing, and moving the call on costs it one
    // request as before.
    const bool repeats = reached_upstream(result);
    if (repeats && !selector_.take_retry(running->call.service)) {
        counters_.count(reason_event::refused, reason_code::retry_budget_exhausted);
        return false;
    }
    if (!start_attempt(running)) {
        if (repeats) {
            selector_.give_back_retry(running->call.service);
        }
        return false;
    }
    counters_.count(reason_event::retried, result.reason);
    return true;
}

void dispatcher::core::schedule_hedge(const call_state& running)
{
    if (!options_.run_after || !running->idempotent) {
        return;
    }
    const auto delay = selector_.hedge_delay(running->call.service, running->call.priority);
    if (!delay || options_.now() + *delay >= running->call.deadline) {
        return;
    }
    // The timer does not keep the body of a finished call in memory.
    options_.run_after(
        *delay, [self = shared_from_this(), waiting = std::weak_ptr<dispatched_call>{running}] {
            if (const call_state still_running = waiting.lock()) {
                self->hedge(still_running);
            }
        });
}

void dispatcher::core::hedge(const call_state& running)
{
    {
        const std::lock_guard lock{running->mutex};
        if (running->finished || running->running != 1 || running->budget.exhausted()) {
            return;
        }
    }
    if (!selector_.take_retry(running->call.service)) {
        counters_.count(reason_event::refused, reason_code::retry_budget_exhausted);
        return;
    }
    if (!start_attempt(running)) {
        selector_.give_back_retry(running->call.service);
        return;
    }
    hedges_.fetch_add(1);
}

void dispatcher::core::send(const std::shared_ptr<peer>& target, const service_call& call,
                            std::uint32_t carried, bool movable,
                            const std::shared_ptr<cancellation>& cancel, call_done done)
{
    service_call attempt = call;
    attempt.movable = movable;
    attempt.retry_budget = carried;
    attempt.cancel = cancel;
    if (call.repeat == repeatability::by_class) {
        attempt.request_id = std::to_string(options_.self_instance) + "-" +
                             std::to_string(next_request_.fetch_add(1));
    }
    const time_point sent = options_.now();
    target->load.begin_call(sent);
    call_done learn = [self = shared_from_this(), target, service = call.service,
                       priority = call.priority, cancel, sent,
                       done = std::move(done)](call_result result) {
        if (result.outcome == call_outcome::unknown && cancel && cancel->cancelled()) {
            // An attempt that was ended from here says nothing about the member.
            result.reason = reason_code::caller_gone;
        }
        self->selector_.record_result(*target, service, priority, result, sent);
        done(std::move(result));
    };
    if (local_ != nullptr && target->node.instance == options_.self_instance) {
        local_->execute(attempt, std::move(learn));
        return;
    }
    peers_.execute(target->node, attempt, std::move(learn));
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

void dispatcher::execute_on(const node_reference& target, const service_call& call, call_done done)
{
    core_->execute_on(target, call, std::move(done));
}

std::vector<node_reference> dispatcher::rank(const std::string& service, std::string_view priority,
                                             std::vector<node_reference> candidates)
{
    return core_->selector().rank(service, priority, std::move(candidates));
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
