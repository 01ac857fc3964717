#include "chestnutstand/node/executor.h"

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/upstream_exchange.h"
#include "chestnutstand/support/log.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace chestnutstand {
namespace {

/// A quarter of what the platforms allow, so that probes never are a load of their own.
constexpr double pace_probes_per_s = 15.0;
constexpr double pace_probe_burst = 5.0;
/// Fills the bucket at the start, when the pace of the upstream is not known.
constexpr milliseconds pace_probe_head_start{1'000};
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;
constexpr int status_service_unavailable = 503;

/// An upstream can reject requests while it has free slots. Such a rejection says nothing about the
/// number of requests that it can run.
bool rejected_with_free_slots(const http_response& response, const header_names& names)
{
    const auto header = find_header(response.headers, names.upstream_load);
    const auto load = header ? parse_reported_load(*header) : std::nullopt;
    return load && load->has_free_slot();
}

/// What the result says about the load of the upstream.
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
    // An upstream that fails fast would seem to have become quick.
    if (status >= status_server_error) {
        return {};
    }
    return {sample_kind::completed, result.elapsed};
}

bool runs_at_most_once(const service_call& call)
{
    return call.repeat == repeatability::at_most_once;
}

call_result refused(reason_code reason, load_report load)
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
      pace_probes_{pace_probes_per_s, pace_probe_burst, ms_clock::now() - pace_probe_head_start}
{
}

void executor::set_upstream(std::optional<local_upstream> upstream)
{
    const auto now = ms_clock::now();
    follow_up next;
    {
        const std::lock_guard lock{mutex_};
        const bool other_service =
            !upstream || !upstream_ || upstream->service != upstream_->service;
        if (other_service) {
            refuse_waiting(reason_code::no_upstream, next);
        }
        upstream_ = std::move(upstream);
        if (upstream_ && queue_) {
            queue_->set_slots(usable_slots());
        }
        apply_configuration(now);
        take_decisions(now, next);
    }
    run(std::move(next));
}

std::optional<local_upstream> executor::upstream() const
{
    const std::lock_guard lock{mutex_};
    return upstream_;
}

void executor::begin_drain()
{
    const std::lock_guard lock{mutex_};
    draining_ = true;
    if (queue_) {
        queue_->drain();
    }
}

/// Follows the document and the service of the upstream.
void executor::apply_configuration(time_point now)
{
    const auto current = configuration_();
    if (!upstream_ || !current || (current == applied_ && upstream_->service == applied_service_)) {
        return;
    }
    applied_ = current;
    applied_service_ = upstream_->service;
    const auto* service = current->find_service(upstream_->service);
    prober_.set_rate(service != nullptr ? service->probe_budget_per_s : 0.0, now);
    const auto classes = service != nullptr ? *service : service_config{};
    if (queue_) {
        queue_->set_classes(classes);
        queue_->set_slots(usable_slots());
        return;
    }
    queue_.emplace(classes, usable_slots());
    if (draining_) {
        queue_->drain();
    }
}

/// Slots of the upstream that are used at once.
std::uint32_t executor::usable_slots() const
{
    const auto* service = applied_ ? applied_->find_service(upstream_->service) : nullptr;
    const double share = service != nullptr ? service->slot_share : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(std::floor(share * upstream_->slots)));
}

std::optional<reason_code> executor::refusal(std::uint64_t target_instance,
                                             const service_call& call, time_point now) const
{
    if (target_instance != instance_) {
        return reason_code::wrong_instance;
    }
    if (draining_) {
        return reason_code::draining;
    }
    if (!upstream_ || upstream_->service != call.service) {
        return reason_code::no_upstream;
    }
    if (!queue_) {
        return reason_code::no_configuration;
    }
    if (call.deadline <= now) {
        return reason_code::deadline_exceeded;
    }
    if (!find_class(call)) {
        return reason_code::unknown_priority;
    }
    if (call.movable && pace_.slow(now)) {
        return reason_code::upstream_slow;
    }
    return std::nullopt;
}

/// The sender may follow a newer or older document, whose routes make other classes. Its call then
/// waits with another class of its rank.
std::optional<std::size_t> executor::find_class(const service_call& call) const
{
    const auto found = queue_->find_priority(call.priority);
    if (found || call.repeat == repeatability::by_class) {
        return found;
    }
    const auto end = call.priority.find('/');
    return queue_->find_fallback_priority(std::string_view{call.priority}.substr(0, end + 1));
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
        done(refused(reason_code::wrong_instance, report()));
        return;
    }
    auto decision =
        keys_.enqueue(call.idempotency_key, request_fingerprint(call.request), done, now);
    if (decision.what == execution_decision::kind::answered) {
        decision.result.load = report();
        done(std::move(decision.result));
    }
    else if (decision.what == execution_decision::kind::run) {
        offer(target_instance, std::move(call), decision.id, done, now);
    }
}

void executor::offer_with_known_pace(std::uint64_t target_instance, service_call call,
                                     const std::optional<key_id>& key, const call_done& done,
                                     time_point now)
{
    follow_up next;
    {
        const std::lock_guard lock{mutex_};
        apply_configuration(now);
        if (const auto reason = refusal(target_instance, call, now)) {
            next.refusals.push_back({done, key, *reason, report_locked(), call.request_id});
        }
        else {
            auto offered = std::make_shared<execution>();
            offered->id = ++last_id_;
            offered->offered_at = now;
            offered->call = std::move(call);
            offered->done = done;
            offered->key = key;
            admit(std::move(offered), now, next);
        }
    }
    run(std::move(next));
}

void executor::admit(execution_ptr what, time_point now, follow_up& next)
{
    const auto priority = find_class(what->call).value();
    const bool once = runs_at_most_once(what->call);
    if (once && !attempts_.admit(what->call.request_id, now)) {
        next.refusals.push_back({what->done, what->key, reason_code::key_running, report_locked(),
                                 what->call.request_id});
        return;
    }
    const auto offered = queue_->offer(what->id, priority, what->call.deadline, now);
    if (offered.result == offer_state::refused) {
        forget_attempt(*what);
        next.refusals.push_back(
            {what->done, what->key, offered.reason, report_locked(), what->call.request_id});
        return;
    }
    executions_[what->id] = what;
    if (offered.result == offer_state::admitted) {
        start(what, now, next);
    }
    take_decisions(now, next);
    next.admitted = std::move(what);
}

void executor::take_decisions(time_point now, follow_up& next)
{
    if (!queue_) {
        return;
    }
    while (const auto decision = queue_->next(now)) {
        const auto found = executions_.find(decision->id);
        const auto what = found->second;
        if (decision->starts()) {
            start(what, now, next);
            continue;
        }
        executions_.erase(found);
        forget_attempt(*what);
        next.refusals.push_back(
            {what->done, what->key, decision->refusal, report_locked(), what->call.request_id});
    }
}

void executor::start(const execution_ptr& what, time_point now, follow_up& next)
{
    if (commit_to_start(*what)) {
        next.starts.push_back(what);
        return;
    }
    queue_->finish(what->id, {}, now);
    executions_.erase(what->id);
    if (runs_at_most_once(what->call)) {
        next.refusals.push_back({what->done, what->key, reason_code::key_fenced, report_locked(),
                                 what->call.request_id});
    }
}

/// The last check before a call is sent to the upstream, in the critical section that makes it a
/// started one; after this it can no longer be refused. False when its key or its id was fenced;
/// the fence of a key has answered the call.
bool executor::commit_to_start(execution& what)
{
    if (what.key && !keys_.start(*what.key)) {
        return false;
    }
    if (runs_at_most_once(what.call) && !attempts_.start(what.call.request_id)) {
        return false;
    }
    what.base_url = upstream_->base_url;
    what.upstream_id = upstream_->id;
    what.started = true;
    what.started_at = ms_clock::now();
    return true;
}

void executor::forget_attempt(const execution& what)
{
    if (runs_at_most_once(what.call)) {
        attempts_.refuse(what.call.request_id);
    }
}

settle_result executor::settle_attempt(const std::string& request_id)
{
    const auto now = ms_clock::now();
    settle_result settled;
    {
        const std::lock_guard lock{mutex_};
        settled = attempts_.settle(request_id, now);
    }
    log_event(log_level::info, "attempt settled",
              {{"request_id", request_id},
               {"state", std::string{settle_state_names.name(settled.state)}},
               {"reason", std::string{to_string(settled.reason)}}});
    return settled;
}

void executor::refuse_waiting(reason_code reason, follow_up& next)
{
    for (auto at = executions_.begin(); at != executions_.end();) {
        const auto& what = *at->second;
        if (what.started || !queue_->remove(what.id)) {
            ++at;
            continue;
        }
        forget_attempt(what);
        next.refusals.push_back(
            {what.done, what.key, reason, report_locked(), what.call.request_id});
        at = executions_.erase(at);
    }
}

void executor::run(follow_up next)
{
    for (const auto& each : next.starts) {
        send(each);
    }
    for (auto& each : next.refusals) {
        stats_.count(reason_event::refused, each.reason);
        log_refusal(each);
        if (each.key) {
            keys_.refuse(*each.key, each.reason, ms_clock::now());
            continue;
        }
        auto answer = refused(each.reason, std::move(each.load));
        if (each.reason == reason_code::key_running) {
            // Another copy of the call is or was here, or a settlement has answered it.
            answer.outcome = call_outcome::unknown;
        }
        each.done(std::move(answer));
    }
    // A keyed call goes on without its caller: others may wait for the same key.
    if (next.admitted && !next.admitted->key && next.admitted->call.cancel) {
        next.admitted->call.cancel->on_cancel([this, admitted = std::weak_ptr{next.admitted}] {
            if (const auto what = admitted.lock()) {
                cancel(what);
            }
        });
    }
}

void executor::send(const execution_ptr& what)
{
    const auto timeout = upstream_timeout(what->call, ms_clock::now());
    const auto request = client_.send(
        what->base_url, make_upstream_request(what->call, names_, what->upstream_id), timeout,
        [this, what](http_result result) { finish(what, std::move(result)); });
    bool cancelled = false;
    {
        const std::lock_guard lock{mutex_};
        what->request = request;
        cancelled = what->cancelled;
    }
    if (cancelled) {
        client_.cancel(request);
    }
}

/// A queued call is taken out; a started one is cancelled at the upstream.
void executor::cancel(const execution_ptr& what)
{
    follow_up next;
    std::optional<http_client::request_id> running;
    {
        const std::lock_guard lock{mutex_};
        if (!what->started) {
            if (executions_.erase(what->id) > 0) {
                queue_->remove(what->id);
                forget_attempt(*what);
                next.refusals.push_back({what->done, what->key, reason_code::caller_gone,
                                         report_locked(), what->call.request_id});
            }
        }
        else {
            what->cancelled = true;
            running = what->request;
        }
    }
    if (running) {
        client_.cancel(*running);
    }
    run(std::move(next));
}

void executor::finish(const execution_ptr& what, http_result result)
{
    const auto now = ms_clock::now();
    const auto sample = make_sample(result, names_);
    observe_pace(result, now);
    call_result ended = classify_upstream_response(what->call, std::move(result), names_);
    follow_up next;
    {
        const std::lock_guard lock{mutex_};
        executions_.erase(what->id);
        if (runs_at_most_once(what->call)) {
            attempts_.finish(what->call.request_id, ended, now);
        }
        queue_->finish(what->id, sample, now);
        take_decisions(now, next);
        ended.load = report_locked();
    }
    // The next call starts first: the slot is free, and the answer may take time to be written.
    run(std::move(next));
    if (ended.outcome == call_outcome::not_run) {
        stats_.count(reason_event::refused, ended.reason);
    }
    if (ended.outcome == call_outcome::unknown) {
        stats_.count(reason_event::unknown_outcome, ended.reason);
    }
    log_execution(*what, ended, now);
    if (what->key) {
        keys_.finish(*what->key, std::move(ended), now);
        return;
    }
    what->done(std::move(ended));
}

void executor::poll(time_point now)
{
    follow_up next;
    std::optional<std::string> probe_url;
    {
        const std::lock_guard lock{mutex_};
        apply_configuration(now);
        follow_pace(now);
        take_decisions(now, next);
        if (upstream_ && !draining_) {
            probe_url = upstream_->base_url;
        }
    }
    run(std::move(next));
    if (probe_url) {
        prober_.poll(*probe_url, now);
        refresh_pace(now);
    }
}

load_report executor::report() const
{
    const std::lock_guard lock{mutex_};
    return report_locked();
}

load_report executor::report_locked() const
{
    load_report load = queue_ ? queue_->report() : load_report{};
    load.instance = instance_;
    if (!upstream_) {
        load.limit = 0;
    }
    else if (!queue_) {
        load.limit = usable_slots();
    }
    load.pace = pace_.factor(ms_clock::now());
    load.draining = draining_;
    load.upstream_registered = upstream_.has_value();
    return load;
}

bool executor::idle() const
{
    const std::lock_guard lock{mutex_};
    return executions_.empty() && waiting_for_pace_.empty();
}

} // namespace chestnutstand
