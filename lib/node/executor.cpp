#include "chestnutstand/node/executor.h"

#include "routed_call.h"

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/upstream_exchange.h"
#include "chestnutstand/support/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutstand {
namespace {

/// Maximum rate of the slowdown probes for which calls wait: half of the rate of such requests that
/// the deployment platforms allow.
constexpr double slowdown_probes_per_s = 30.0;
constexpr double slowdown_probe_burst = 5.0;
/// A token bucket starts empty. That of the slowdown probes is constructed with a start time this
/// far in the past, in which it fills up, because the slowdown of the upstream is unknown at first.
constexpr milliseconds slowdown_probe_prefill_time{1'000};
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;
constexpr int status_service_unavailable = 503;

/// Whether the upstream rejected the request although it reports a free slot. Such a rejection says
/// nothing about the number of requests that the upstream can run.
bool rejected_with_free_slots(const http_response& response, const header_names& names)
{
    const auto header = find_header(response.headers, names.upstream_load);
    const auto load = header ? parse_reported_load(*header) : std::nullopt;
    return load && load->has_free_slot();
}

/// Converts a result to a sample for the concurrency limit; an empty sample if the result says
/// nothing about the load of the upstream.
upstream_sample make_sample(const http_result& result, const header_names& names)
{
    if (result.error == http_error::timed_out) {
        return {sample_kind::timed_out, result.elapsed};
    }
    if (result.error != http_error::none) {
        return {};
    }
    const int status = result.response.status;
    if (status == status_service_unavailable || status == status_too_many_requests) {
        if (rejected_with_free_slots(result.response, names)) {
            return {};
        }
        return {sample_kind::shed, result.elapsed};
    }
    // Counting errors would make an upstream that fails fast look faster.
    if (status >= status_server_error) {
        return {};
    }
    return {sample_kind::completed, result.elapsed};
}

call_result refusal_result(reason_code reason, load_report load)
{
    auto result = not_run(reason);
    result.load = std::move(load);
    return result;
}

} // namespace

executor::executor(std::uint64_t instance, http_client& client, metrics& stats, executor_keys& keys,
                   configuration_source configuration, header_names names)
    : instance_{instance}, client_{client}, stats_{stats}, keys_{keys},
      configuration_{std::move(configuration)}, names_{std::move(names)}, prober_{client, 0.0,
                                                                                  ms_clock::now()},
      slowdown_probe_budget_{slowdown_probes_per_s, slowdown_probe_burst,
                             ms_clock::now() - slowdown_probe_prefill_time}
{
}

void executor::set_upstream(std::optional<local_upstream> upstream)
{
    const auto now = ms_clock::now();
    deferred_actions deferred;
    {
        const std::lock_guard lock{mutex_};
        const bool service_changed =
            !upstream || !upstream_ || upstream->service != upstream_->service;
        if (service_changed) {
            refuse_queued(reason_code::no_upstream, deferred);
        }
        observe_new_process(upstream, now);
        if (!upstream || !upstream_ || upstream->id != upstream_->id) {
            abandoned_ = {};
        }
        upstream_ = std::move(upstream);
        if (upstream_) {
            statement_.set_process(upstream_->id, upstream_->born_ms);
        }
        if (upstream_ && queue_) {
            queue_->set_slots(usable_slots());
        }
        apply_configuration(now);
        apply_rate_limit(now);
        apply_queue_decisions(now, deferred);
    }
    run_deferred(std::move(deferred));
}

std::optional<local_upstream> executor::upstream() const
{
    const std::lock_guard lock{mutex_};
    return upstream_;
}

void executor::renew_lease(time_point end)
{
    const std::lock_guard lock{mutex_};
    lease_end_ = end;
}

void executor::apply_configuration(time_point now)
{
    const auto current = configuration_();
    if (!upstream_ || !current || (current == applied_ && upstream_->service == applied_service_)) {
        return;
    }
    applied_ = current;
    keys_unchecked_ = true;
    applied_service_ = upstream_->service;
    const auto* service = current->find_service(upstream_->service);
    prober_.set_rate(service != nullptr ? service->probe_budget_per_s : 0.0, now);
    const auto classes = service != nullptr ? *service : service_config{};
    if (queue_) {
        queue_->set_classes(classes);
        queue_->set_slots(usable_slots());
        apply_cold_limit(now);
        return;
    }
    queue_.emplace(classes, usable_slots());
    apply_rate_limit(now);
    apply_cold_limit(now);
    if (draining_) {
        queue_->drain();
    }
}

std::uint32_t executor::usable_slots() const
{
    const auto* service = applied_ ? applied_->find_service(upstream_->service) : nullptr;
    const double share = service != nullptr ? service->slot_share : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(std::floor(share * upstream_->slots)));
}

void executor::execute(std::uint64_t target_instance, service_call call, const call_done& done)
{
    const auto now = ms_clock::now();
    if (call.idempotency_key.empty()) {
        offer(target_instance, std::move(call), std::nullopt, done, now);
        return;
    }
    if (target_instance != instance_) {
        stats_.count(reason_event::refused, reason_code::wrong_instance);
        done(refusal_result(reason_code::wrong_instance, report()));
        return;
    }
    auto decision =
        keys_.enqueue(call.idempotency_key, request_fingerprint(call.request), done, now);
    if (decision.action == execution_decision::kind::answered) {
        decision.result.load = report();
        done(std::move(decision.result));
    }
    else if (decision.action == execution_decision::kind::run) {
        offer(target_instance, std::move(call), decision.id, done, now);
    }
}

void executor::offer_to_queue(std::uint64_t target_instance, service_call call,
                              const std::optional<key_id>& key, const call_done& done,
                              time_point now)
{
    deferred_actions deferred;
    {
        const std::lock_guard lock{mutex_};
        apply_configuration(now);
        if (const auto reason = refusal_reason(target_instance, call, now)) {
            deferred.refusals.push_back({done, key, *reason, report_locked(), call.request_id});
        }
        else {
            auto execution = std::make_shared<call_execution>();
            execution->id = ++last_id_;
            execution->offered_at = now;
            execution->call = std::move(call);
            execution->done = done;
            execution->key = key;
            enter_queue(std::move(execution), now, deferred);
        }
    }
    run_deferred(std::move(deferred));
}

settle_result executor::settle_attempt(const attempt_query& query)
{
    const auto now = ms_clock::now();
    settle_result settled;
    {
        const std::lock_guard lock{mutex_};
        settled = attempts_.settle(query.request_id, now, query.queued);
    }
    log_event(log_level::info, "attempt settled",
              {{"request_id", query.request_id},
               {"overdue", query.queued == queued_attempt::keep},
               {"state", std::string{settle_state_names.name(settled.state)}},
               {"reason", std::string{to_string(settled.reason)}}});
    return settled;
}

void executor::run_deferred(deferred_actions deferred)
{
    for (const auto& execution : deferred.to_send) {
        send(execution);
    }
    if (!deferred.to_send.empty()) {
        check_cold(ms_clock::now());
    }
    for (auto& refusal : deferred.refusals) {
        stats_.count(reason_event::refused, refusal.reason);
        log_refusal(refusal);
        if (refusal.key) {
            keys_.refuse(*refusal.key, refusal.reason, ms_clock::now());
            continue;
        }
        auto result = refusal_result(refusal.reason, std::move(refusal.load));
        if (refusal.reason == reason_code::key_running) {
            // The reason comes from enter_queue(): another copy of the at-most-once call has run or
            // may run here, or its request id was settled.
            result.outcome = call_outcome::unknown;
        }
        refusal.done(std::move(result));
    }
    // A keyed call continues without its caller, because other callers may wait for the same key.
    if (deferred.accepted && !deferred.accepted->key && deferred.accepted->call.cancel) {
        deferred.accepted->call.cancel->on_cancel(
            [this, accepted = std::weak_ptr{deferred.accepted}] {
                if (const auto execution = accepted.lock()) {
                    cancel(execution);
                }
            });
    }
}

void executor::send(const call_execution_ptr& execution)
{
    const auto timeout = upstream_timeout(execution->call, ms_clock::now());
    const auto request = client_.send(
        execution->upstream.base_url,
        make_upstream_request(execution->call, names_, execution->upstream.id), timeout,
        [this, execution](http_result result) { finish(execution, std::move(result)); });
    bool cancelled = false;
    {
        const std::lock_guard lock{mutex_};
        execution->request = request;
        cancelled = execution->cancelled;
    }
    if (cancelled) {
        client_.cancel(request);
    }
}

// Removes a queued call; cancels the request of a started one.
void executor::cancel(const call_execution_ptr& execution)
{
    deferred_actions deferred;
    std::optional<http_client::request_id> running;
    {
        const std::lock_guard lock{mutex_};
        if (!execution->started) {
            if (executions_.erase(execution->id) > 0) {
                queue_->remove(execution->id);
                discard_attempt(*execution);
                deferred.refusals.push_back({execution->done, execution->key,
                                             reason_code::caller_gone, report_locked(),
                                             execution->call.request_id});
            }
        }
        else {
            execution->cancelled = true;
            running = execution->request;
        }
    }
    if (running) {
        client_.cancel(*running);
    }
    run_deferred(std::move(deferred));
}

void executor::finish(const call_execution_ptr& execution, http_result upstream_result)
{
    const auto now = ms_clock::now();
    const auto sample = make_sample(upstream_result, names_);
    const request_end end = end_of(upstream_result);
    observe_slowdown(upstream_result, now);
    if (is_response_of_upstream(execution->call, upstream_result, names_)) {
        observe_upstream_state(execution->upstream, upstream_result.response);
        observe_cold_header(execution->upstream, upstream_result.response, execution->started_at,
                            false);
    }
    call_result result =
        classify_upstream_response(execution->call, std::move(upstream_result), names_);
    deferred_actions deferred;
    {
        const std::lock_guard lock{mutex_};
        executions_.erase(execution->id);
        if (runs_at_most_once(execution->call)) {
            attempts_.finish(execution->call.request_id, result, now);
        }
        else if (is_routed(execution->call)) {
            // The response of a repeatable call is not kept: the call can run again.
            attempts_.finish(execution->call.request_id,
                             unknown_outcome(reason_code::key_table_full), now);
        }
        queue_->finish(execution->id, sample, now);
        track_abandoned(execution->call, end, now);
        apply_queue_decisions(now, deferred);
        result.load = report_locked();
    }
    // Start the next call before reporting the upstream_result: the slot is free, and writing the
    // response may take time.
    run_deferred(std::move(deferred));
    if (result.outcome == call_outcome::not_run) {
        stats_.count(reason_event::refused, result.reason);
    }
    if (result.outcome == call_outcome::unknown) {
        stats_.count(reason_event::unknown_outcome, result.reason);
    }
    log_execution(*execution, result, now);
    if (execution->key) {
        keys_.finish(*execution->key, std::move(result), now);
        return;
    }
    execution->done(std::move(result));
}

void executor::poll(time_point now)
{
    deferred_actions deferred;
    std::optional<std::string> probe_url;
    {
        const std::lock_guard lock{mutex_};
        apply_configuration(now);
        apply_cold_limit(now);
        refuse_removed_keys(deferred);
        update_queue_slowdown(now);
        apply_queue_decisions(now, deferred);
        const bool probes = upstream_ && !draining_ && !evacuated_ && !statement_.rate_limit();
        if (probes) {
            probe_url = upstream_->base_url;
        }
    }
    run_deferred(std::move(deferred));
    if (probe_url) {
        prober_.poll(*probe_url, now);
        probe_stale_slowdown(now);
    }
    check_cold(now);
}

load_report executor::report() const
{
    const std::lock_guard lock{mutex_};
    return report_locked();
}

load_report executor::report_locked() const
{
    load_report load = queue_ ? queue_->report(ms_clock::now()) : load_report{};
    load.instance = instance_;
    if (!upstream_) {
        load.limit = 0;
    }
    else if (!queue_) {
        load.limit = usable_slots();
    }
    load.pace = slowdown_.factor(ms_clock::now());
    load.draining = draining_;
    load.upstream_registered = upstream_.has_value();
    return load;
}

bool executor::idle() const
{
    const std::lock_guard lock{mutex_};
    return executions_.empty() && waiting_for_slowdown_.empty();
}

} // namespace chestnutstand
