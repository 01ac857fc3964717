#include "chestnutstand/keys/key_settlement.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace chestnutstand {
namespace {

/// Minimum timeout of a query close to the deadline; a query shorter than a round trip would fail.
constexpr milliseconds min_timeout{50};

/// State of the key at one candidate, as far as the replies tell.
enum class candidate_state : std::uint8_t { pending, unreachable, running, fenced, gone };

bool is_settled(candidate_state state)
{
    return state == candidate_state::fenced || state == candidate_state::gone;
}

} // namespace

/// One settlement in progress.
struct key_settlement::operation {
    std::mutex mutex;
    std::string key_text;
    std::optional<fingerprint> request;
    std::vector<node_reference> candidates;
    std::vector<candidate_state> candidate_states;
    time_point deadline;
    milliseconds delay{0};
    std::size_t pending_replies = 0;
    /// Null once the caller has its result.
    call_done done;

    void complete(call_result result)
    {
        call_done callback;
        {
            const std::lock_guard lock{mutex};
            callback = std::exchange(done, nullptr);
        }
        if (callback) {
            callback(std::move(result));
        }
    }

    /// Returns true when the key was admitted with another request than the one to settle.
    bool is_for_other_request(const std::optional<fingerprint>& admitted) const
    {
        return request && admitted && *request != *admitted;
    }

    bool has_candidate(candidate_state state) const
    {
        return std::find(candidate_states.begin(), candidate_states.end(), state) !=
               candidate_states.end();
    }
};

key_settlement::key_settlement(std::string secret, candidate_client candidates,
                               key_environment environment, const settle_timing& timing)
    : secret_{std::move(secret)}, candidates_{candidates},
      environment_{std::move(environment)}, timing_{timing}
{
}

void key_settlement::settle(const std::string& key_text, const std::optional<fingerprint>& request,
                            time_point deadline, call_done done) const
{
    const auto key = decode(key_text, secret_);
    if (!key.ok()) {
        done(not_run(reason_code::malformed_key));
        return;
    }
    const auto op = std::make_shared<operation>();
    op->key_text = key_text;
    op->request = request;
    op->candidates = key->candidates;
    op->candidate_states.resize(key->candidates.size(), candidate_state::pending);
    op->deadline = deadline;
    op->delay = timing_.first_delay;
    op->done = std::move(done);
    query_candidates(op);
}

void key_settlement::query_candidates(const operation_ptr& op) const
{
    const milliseconds left = op->deadline - environment_.now();
    const milliseconds timeout = std::clamp(left, min_timeout, timing_.timeout);
    std::vector<std::size_t> unsettled;
    {
        const std::lock_guard lock{op->mutex};
        for (std::size_t i = 0; i < op->candidates.size(); ++i) {
            if (!is_settled(op->candidate_states[i])) {
                unsettled.push_back(i);
            }
        }
        op->pending_replies = unsettled.size();
    }
    for (const std::size_t index : unsettled) {
        candidates_.settle(
            op->candidates[index], op->key_text, timeout,
            [self = shared_from_this(), op, index](absl::StatusOr<settle_result> reply) {
                self->on_reply(op, index, std::move(reply));
            });
    }
}

void key_settlement::on_reply(const operation_ptr& op, std::size_t index,
                              absl::StatusOr<settle_result> reply) const
{
    // A reply that completes the operation ends it, so that the state set with it has no effect.
    candidate_state state = candidate_state::unreachable;
    if (!reply.ok()) {
        state = environment_.is_gone(op->candidates[index]) ? candidate_state::gone
                                                            : candidate_state::unreachable;
    }
    else if (op->is_for_other_request(reply->request)) {
        state = candidate_state::running;
        op->complete(not_run(reason_code::key_reused));
    }
    else if (reply->state == settle_state::completed) {
        state = candidate_state::running;
        op->complete({call_outcome::completed, reason_code::none, std::move(reply->response), {}});
    }
    else if (reply->state == settle_state::unknown) {
        state = candidate_state::running;
        op->complete(unknown_outcome(reply->reason));
    }
    else if (reply->state == settle_state::running) {
        state = candidate_state::running;
    }
    else {
        state =
            reply->state == settle_state::fenced ? candidate_state::fenced : candidate_state::gone;
    }
    {
        const std::lock_guard lock{op->mutex};
        op->candidate_states[index] = state;
        if (--op->pending_replies != 0) {
            return;
        }
    }
    finish_round(op);
}

void key_settlement::finish_round(const operation_ptr& op) const
{
    // All replies of the round have arrived, so no other thread accesses the operation.
    if (!op->done) {
        return;
    }
    const bool running = op->has_candidate(candidate_state::running);
    if (running || op->has_candidate(candidate_state::unreachable)) {
        const milliseconds delay = op->delay;
        if (environment_.now() + delay >= op->deadline) {
            op->complete(unknown_outcome(running ? reason_code::key_running
                                                 : reason_code::owner_unreachable));
            return;
        }
        op->delay = timing_.next_delay(delay);
        environment_.run_after(delay,
                               [self = shared_from_this(), op] { self->query_candidates(op); });
        return;
    }
    op->complete(op->has_candidate(candidate_state::gone)
                     ? unknown_outcome(reason_code::executor_gone)
                     : not_run(reason_code::key_fenced));
}

} // namespace chestnutstand
