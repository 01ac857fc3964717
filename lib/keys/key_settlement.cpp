#include "chestnutstand/keys/key_settlement.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace chestnutstand {
namespace {

/// The shortest limit of a query near the deadline; less than a round trip would only fail.
constexpr milliseconds shortest_timeout{50};

/// What is known of one candidate.
enum class finding : std::uint8_t { open, unreachable, running, fenced, gone };

bool is_settled(finding found)
{
    return found == finding::fenced || found == finding::gone;
}

} // namespace

/// State of one settlement.
struct key_settlement::inquiry {
    std::mutex mutex;
    std::string key_text;
    std::optional<fingerprint> request;
    std::vector<node_reference> candidates;
    std::vector<finding> findings;
    time_point deadline;
    milliseconds delay{0};
    std::size_t pending = 0;
    /// Null once the caller has its answer.
    call_done done;

    void answer(call_result result)
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

    /// True when the key belongs to another request than the one asked for.
    bool is_other(const std::optional<fingerprint>& admitted) const
    {
        return request && admitted && *request != *admitted;
    }

    bool has(finding found) const
    {
        return std::find(findings.begin(), findings.end(), found) != findings.end();
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
    const auto asked = std::make_shared<inquiry>();
    asked->key_text = key_text;
    asked->request = request;
    asked->candidates = key->candidates;
    asked->findings.resize(key->candidates.size(), finding::open);
    asked->deadline = deadline;
    asked->delay = timing_.first_delay;
    asked->done = std::move(done);
    ask_all(asked);
}

void key_settlement::ask_all(const inquiry_ptr& asked) const
{
    const milliseconds left = asked->deadline - environment_.now();
    const milliseconds timeout = std::clamp(left, shortest_timeout, timing_.timeout);
    std::vector<std::size_t> open;
    {
        const std::lock_guard lock{asked->mutex};
        for (std::size_t i = 0; i < asked->candidates.size(); ++i) {
            if (!is_settled(asked->findings[i])) {
                open.push_back(i);
            }
        }
        asked->pending = open.size();
    }
    for (const std::size_t index : open) {
        candidates_.settle(
            asked->candidates[index], asked->key_text, timeout,
            [self = shared_from_this(), asked, index](absl::StatusOr<settle_result> settled) {
                self->on_reply(asked, index, std::move(settled));
            });
    }
}

void key_settlement::on_reply(const inquiry_ptr& asked, std::size_t index,
                              absl::StatusOr<settle_result> settled) const
{
    finding found = finding::unreachable;
    if (!settled.ok()) {
        found =
            environment_.is_gone(asked->candidates[index]) ? finding::gone : finding::unreachable;
    }
    else if (asked->is_other(settled->request)) {
        found = finding::running;
        asked->answer(not_run(reason_code::key_reused));
    }
    else if (settled->state == settle_state::completed) {
        found = finding::running;
        asked->answer(
            {call_outcome::completed, reason_code::none, std::move(settled->response), {}});
    }
    else if (settled->state == settle_state::unknown) {
        found = finding::running;
        asked->answer(unknown_outcome(settled->reason));
    }
    else if (settled->state == settle_state::running) {
        found = finding::running;
    }
    else {
        found = settled->state == settle_state::fenced ? finding::fenced : finding::gone;
    }
    {
        const std::lock_guard lock{asked->mutex};
        asked->findings[index] = found;
        if (--asked->pending != 0) {
            return;
        }
    }
    conclude(asked);
}

void key_settlement::conclude(const inquiry_ptr& asked) const
{
    // All replies of the round are in, so that no other thread touches the findings.
    if (!asked->done) {
        return;
    }
    const bool running = asked->has(finding::running);
    if (running || asked->has(finding::unreachable)) {
        const milliseconds delay = asked->delay;
        if (environment_.now() + delay >= asked->deadline) {
            asked->answer(unknown_outcome(running ? reason_code::key_running
                                                  : reason_code::owner_unreachable));
            return;
        }
        asked->delay = timing_.next(delay);
        environment_.after(delay, [self = shared_from_this(), asked] { self->ask_all(asked); });
        return;
    }
    asked->answer(asked->has(finding::gone) ? unknown_outcome(reason_code::executor_gone)
                                            : not_run(reason_code::key_fenced));
}

} // namespace chestnutstand
