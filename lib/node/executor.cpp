#include "chestnutstand/node/executor.h"

#include "chestnutstand/node/upstream_exchange.h"

#include <utility>

namespace chestnutstand {
namespace {

constexpr double latency_smoothing = 0.2;

} // namespace

executor::executor(std::uint64_t instance, http_client& client, metrics& stats, executor_keys& keys)
    : instance_{instance}, client_{client}, stats_{stats}, keys_{keys}
{
}

void executor::set_upstream(std::optional<local_upstream> upstream)
{
    const std::lock_guard lock{mutex_};
    upstream_ = std::move(upstream);
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
}

std::optional<reason> executor::refusal(std::uint64_t target_instance, const call& what) const
{
    if (target_instance != instance_) {
        return reason::wrong_instance;
    }
    if (draining_) {
        return reason::draining;
    }
    if (!upstream_ || upstream_->service != what.service) {
        return reason::no_upstream;
    }
    if (what.deadline <= ms_clock::now()) {
        return reason::deadline_exceeded;
    }
    return std::nullopt;
}

void executor::execute(std::uint64_t target_instance, call what, const call_done& done)
{
    if (what.idempotency_key.empty()) {
        start(target_instance, std::move(what), std::nullopt, done);
        return;
    }
    if (target_instance != instance_) {
        refuse(std::nullopt, reason::wrong_instance, done);
        return;
    }
    auto decision = keys_.enqueue(what.idempotency_key, request_fingerprint(what.request), done,
                                  ms_clock::now());
    if (decision.what == execution_decision::kind::answered) {
        decision.result.load = report();
        done(std::move(decision.result));
    }
    else if (decision.what == execution_decision::kind::run) {
        start(target_instance, std::move(what), decision.id,
              [this, id = decision.id](call_result result) {
                  keys_.finish(id, std::move(result), ms_clock::now());
              });
    }
}

void executor::refuse(const std::optional<key_id>& key, reason why, const call_done& done)
{
    stats_.count(reason_event::refused, why);
    if (key) {
        keys_.refuse(*key, why, ms_clock::now());
        return;
    }
    done(not_run(why));
}

void executor::start(std::uint64_t target_instance, call what, const std::optional<key_id>& key,
                     const call_done& done)
{
    std::string base_url;
    std::optional<reason> refused;
    {
        const std::unique_lock lock{mutex_};
        refused = refusal(target_instance, what);
        if (!refused) {
            // The last check of a key: no fence can come between it and the decision to send.
            if (key && !keys_.start(*key)) {
                return;
            }
            base_url = upstream_->base_url;
            ++in_flight_;
        }
    }
    if (refused) {
        refuse(key, *refused, done);
        return;
    }
    http_request request = make_upstream_request(what);
    const auto timeout = upstream_timeout(what, ms_clock::now());
    const auto cancel = what.idempotency_key.empty() ? what.cancel : nullptr;
    const auto id = client_.send(base_url, std::move(request), timeout,
                                 [this, what = std::move(what), done](http_result result) {
                                     finish(what, std::move(result), done);
                                 });
    if (cancel) {
        cancel->on_cancel([this, id] { client_.cancel(id); });
    }
}

void executor::finish(const call& what, http_result result, const call_done& done)
{
    const milliseconds elapsed = result.elapsed;
    call_result ended = judge_upstream_response(what, std::move(result));
    {
        const std::lock_guard lock{mutex_};
        --in_flight_;
        latency_ += (elapsed - latency_) * latency_smoothing;
    }
    if (ended.outcome == outcome::not_run) {
        stats_.count(reason_event::refused, ended.why);
    }
    if (ended.outcome == outcome::unknown) {
        stats_.count(reason_event::unknown_outcome, ended.why);
    }
    ended.load = report();
    done(std::move(ended));
}

load_report executor::report() const
{
    const std::lock_guard lock{mutex_};
    load_report load;
    load.instance = instance_;
    load.in_flight = in_flight_;
    load.limit = upstream_ ? upstream_->slots : 0;
    load.latency = latency_;
    load.draining = draining_;
    load.upstream_registered = upstream_.has_value();
    return load;
}

bool executor::idle() const
{
    const std::lock_guard lock{mutex_};
    return in_flight_ == 0;
}

} // namespace chestnutstand
