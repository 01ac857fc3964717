#include "chestnutstand/keys/key_owner.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

/// Returns true when the executor itself reports that the call started and that its result is lost.
bool is_final_unknown(reason_code reason)
{
    switch (reason) {
    case reason_code::upstream_timeout:
    case reason_code::upstream_connection_lost:
    case reason_code::upstream_answer_truncated:
    case reason_code::upstream_answer_malformed:
    case reason_code::upstream_answer_mismatched:
    case reason_code::upstream_answer_unframed:
    case reason_code::upstream_answer_too_large:
        return true;
    default:
        return false;
    }
}

} // namespace

/// Progress of one admitted key. Needs no mutex: only one step of an execution is active at a time.
struct key_owner::execution {
    key_id id;
    service_call call;
    std::string base_request_id;
    std::vector<node_reference> untried;
    std::uint32_t attempts = 0;
    reason_code last_refusal = reason_code::stale_key;
    milliseconds settle_delay{0};
};

key_owner::key_owner(key_owner_options options, candidate_client candidates,
                     candidate_selection selection, key_environment environment)
    : options_{std::move(options)}, candidates_{candidates}, selection_{std::move(selection)},
      environment_{std::move(environment)}, started_{environment_.now()}, table_{options_.limits}
{
}

absl::StatusOr<std::vector<std::string>> key_owner::issue(const std::string& service,
                                                          std::size_t count)
{
    std::vector<std::string> keys;
    keys.reserve(count);
    while (keys.size() < count) {
        idempotency_key key{options_.self, selection_.choose(service), 0,
                            environment_.now() - started_, service};
        if (key.candidates.empty()) {
            return absl::UnavailableError("no upstream of the service " + service);
        }
        key.candidates.resize(std::min(key.candidates.size(), max_key_candidates));
        {
            const std::lock_guard lock{mutex_};
            key.sequence = next_sequence_++;
        }
        keys.push_back(encode(key, options_.secret));
    }
    return keys;
}

bool key_owner::is_too_old(const idempotency_key& key, time_point now) const
{
    return now - started_ >= key.issued + options_.limits.lifetime;
}

key_admission key_owner::admit(const idempotency_key& key, const service_call& call, call_done done,
                               time_point now)
{
    const key_id id = id_of(key);
    const std::lock_guard lock{mutex_};
    if (table_.state(id) == key_state::absent && is_too_old(key, now)) {
        // Recorded as closed: a thread that read the clock earlier must not admit it afterwards.
        released_waiters none;
        table_.close(id, key_state::not_run, reason_code::key_expired, now, none);
        return {key_admission::kind::answered, 0, table_.result(id)};
    }
    key_admission admission =
        table_.admit(id, request_fingerprint(call.request), std::move(done), now);
    if (admission.status == key_admission::kind::admitted) {
        table_.start(id);
    }
    return admission;
}

void key_owner::run(const service_call& call, const call_done& done)
{
    const auto key = decode(call.idempotency_key, options_.secret);
    if (!key.ok()) {
        done(not_run(reason_code::malformed_key));
        return;
    }
    if (key->owner.instance != options_.self.instance) {
        done(unknown_outcome(reason_code::wrong_instance));
        return;
    }
    if (key->service != call.service) {
        done(not_run(reason_code::key_reused));
        return;
    }
    const time_point now = environment_.now();
    key_admission admission = admit(*key, call, done, now);
    if (admission.status == key_admission::kind::answered) {
        done(std::move(admission.result));
        return;
    }
    answer_at_deadline(id_of(*key), admission.ticket, call.deadline - now);
    if (admission.status == key_admission::kind::admitted) {
        const auto run = std::make_shared<execution>();
        run->id = id_of(*key);
        run->call = call;
        // A call that has started runs to its end even if its caller cancels it.
        run->call.cancel = nullptr;
        run->base_request_id = call.request_id;
        run->untried = key->candidates;
        try_next_candidate(run);
    }
}

void key_owner::query(std::string_view key_text, time_point deadline, const call_done& done)
{
    const auto key = decode(key_text, options_.secret);
    if (!key.ok()) {
        done(not_run(reason_code::malformed_key));
        return;
    }
    if (key->owner.instance != options_.self.instance) {
        done(unknown_outcome(reason_code::wrong_instance));
        return;
    }
    const key_id id = id_of(*key);
    const time_point now = environment_.now();
    call_result result;
    std::optional<std::uint64_t> ticket;
    {
        const std::lock_guard lock{mutex_};
        released_waiters none;
        const auto state = table_.close(id, key_state::not_run, reason_code::key_fenced, now, none);
        result = state == key_state::absent ? unknown_outcome(reason_code::key_table_full)
                                            : table_.result(id);
        if (deadline > now) {
            ticket = table_.attach(id, done);
        }
    }
    if (ticket) {
        answer_at_deadline(id, *ticket, deadline - now);
        return;
    }
    done(std::move(result));
}

void key_owner::answer_at_deadline(const key_id& id, std::uint64_t ticket, milliseconds delay)
{
    environment_.run_after(std::max(delay, milliseconds{0}),
                           [self = shared_from_this(), id, ticket] {
                               std::optional<call_done> done;
                               {
                                   const std::lock_guard lock{self->mutex_};
                                   done = self->table_.detach(id, ticket);
                               }
                               if (done) {
                                   (*done)(unknown_outcome(reason_code::key_running));
                               }
                           });
}

void key_owner::try_next_candidate(const execution_ptr& run)
{
    if (environment_.now() >= run->call.deadline) {
        finish(run, not_run(reason_code::deadline_exceeded));
        return;
    }
    const auto ranked = selection_.rank(run->call, run->untried);
    if (ranked.empty()) {
        finish(run, not_run(run->last_refusal));
        return;
    }
    const node_reference& target = ranked.front();
    run->untried.erase(std::remove(run->untried.begin(), run->untried.end(), target),
                       run->untried.end());
    run->call.request_id = run->base_request_id + "." + std::to_string(++run->attempts);
    candidates_.execute(target, run->call,
                        [self = shared_from_this(), run, target](call_result result) {
                            self->on_executed(run, target, std::move(result));
                        });
}

void key_owner::on_executed(const execution_ptr& run, const node_reference& target,
                            call_result result)
{
    if (result.outcome == call_outcome::not_run) {
        run->last_refusal = result.reason;
        try_next_candidate(run);
        return;
    }
    if (result.outcome == call_outcome::completed || is_final_unknown(result.reason)) {
        finish(run, std::move(result));
        return;
    }
    run->settle_delay = options_.timing.first_delay;
    settle(run, target);
}

void key_owner::settle(const execution_ptr& run, const node_reference& target)
{
    candidates_.settle(
        target, run->call.idempotency_key, options_.timing.timeout,
        [self = shared_from_this(), run, target](absl::StatusOr<settle_result> reply) {
            self->on_settled(run, target, std::move(reply));
        });
}

void key_owner::settle_later(const execution_ptr& run, const node_reference& target)
{
    {
        const std::lock_guard lock{mutex_};
        if (stopping_) {
            return;
        }
    }
    const milliseconds delay = run->settle_delay;
    run->settle_delay = options_.timing.next_delay(delay);
    environment_.run_after(delay,
                           [self = shared_from_this(), run, target] { self->settle(run, target); });
}

void key_owner::on_settled(const execution_ptr& run, const node_reference& target,
                           absl::StatusOr<settle_result> reply)
{
    if (!reply.ok()) {
        if (environment_.is_gone(target)) {
            finish(run, unknown_outcome(reason_code::executor_gone));
            return;
        }
        settle_later(run, target);
        return;
    }
    switch (reply->state) {
    case settle_state::completed:
        finish(run, {call_outcome::completed, reason_code::none, std::move(reply->response), {}});
        return;
    case settle_state::running:
        settle_later(run, target);
        return;
    case settle_state::fenced:
        run->last_refusal = reply->reason;
        try_next_candidate(run);
        return;
    case settle_state::unknown:
        finish(run, unknown_outcome(reply->reason));
        return;
    case settle_state::wrong_instance:
        finish(run, unknown_outcome(reason_code::executor_gone));
        return;
    }
}

void key_owner::finish(const execution_ptr& run, call_result result)
{
    released_waiters released;
    {
        const std::lock_guard lock{mutex_};
        released = table_.finish(run->id, std::move(result), environment_.now());
    }
    released.notify();
}

void key_owner::stop()
{
    const std::lock_guard lock{mutex_};
    stopping_ = true;
}

std::size_t key_owner::bytes_used() const
{
    const std::lock_guard lock{mutex_};
    return table_.bytes_used();
}

} // namespace chestnutstand
