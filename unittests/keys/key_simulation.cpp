#include "key_simulation.h"

#include "key_simulation_links.h"

#include <algorithm>

namespace chestnutstand::simulation {
namespace {

constexpr std::string_view secret = "simulation secret";
constexpr std::size_t process_count = 3;
constexpr std::size_t max_drain_steps = 200'000;
constexpr milliseconds call_limit{1'000};
/// Timers at least this long are chosen rarely, so that most calls finish before their deadline.
constexpr milliseconds long_delay{500};

/// Returns a callback that passes on only the first result, and only if the receiver is alive.
template <typename Result, typename Alive>
std::function<void(Result)> first_result(std::function<void(Result)> done, Alive is_alive)
{
    auto delivered = std::make_shared<bool>(false);
    return [done = std::move(done), is_alive, delivered](Result result) {
        if (!std::exchange(*delivered, true) && is_alive()) {
            done(std::move(result));
        }
    };
}

} // namespace

std::function<bool()> cluster::peers::liveness_check() const
{
    return [self = self_] {
        const auto process = self.lock();
        return process && process->alive;
    };
}

void cluster::peers::execute(const node_reference& target, const service_call& call, call_done done)
{
    const auto reply = first_result(std::move(done), liveness_check());
    parent_.transmit(
        target,
        [&parent = parent_, call, target, reply](const process_ptr& receiver) {
            if (receiver->node != target) {
                as_message(parent, reply)(not_run(reason_code::wrong_instance));
                return;
            }
            parent.receive_call(receiver, call, as_message(parent, reply));
        },
        [reply] { reply(not_run(reason_code::peer_unreachable)); },
        [reply, defect = parent_.defect_] {
            reply(defect == injected_defect::lost_reply_is_refusal
                      ? not_run(reason_code::peer_unreachable)
                      : unknown_outcome(reason_code::peer_connection_lost));
        });
}

void cluster::peers::forward(const node_reference& owner, const service_call& call, bool query_only,
                             call_done done)
{
    const auto reply = first_result(std::move(done), liveness_check());
    parent_.transmit(
        owner,
        [&parent = parent_, call, query_only, reply](const process_ptr& receiver) {
            if (query_only) {
                receiver->owner->query(call.idempotency_key, call.deadline,
                                       as_message(parent, reply));
                return;
            }
            receiver->owner->run(call, as_message(parent, reply));
        },
        [reply] { reply(unknown_outcome(reason_code::owner_unreachable)); },
        [reply] { reply(unknown_outcome(reason_code::owner_unreachable)); });
}

void cluster::peers::settle(const node_reference& executor, const std::string& key, milliseconds,
                            settle_done done)
{
    using result = absl::StatusOr<settle_result>;
    const auto reply = first_result<result>(std::move(done), liveness_check());
    const bool counts_as_fenced = parent_.defect_ == injected_defect::missing_reply_is_fence;
    parent_.transmit(
        executor,
        [&parent = parent_, key, executor, reply](const process_ptr& receiver) {
            as_message(parent, reply)(
                receiver->node == executor
                    ? parent.receive_settle(*receiver, key)
                    : settle_result{settle_state::wrong_instance, {}, reason_code::none, {}});
        },
        [reply] { reply(absl::UnavailableError("connection refused")); },
        [reply, counts_as_fenced] {
            reply(counts_as_fenced
                      ? result{settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}}}
                      : result{absl::UnavailableError("reply lost")});
        });
}

cluster::cluster(std::vector<std::uint8_t> script, injected_defect defect)
    : script_{std::move(script)}, defect_{defect}
{
    if (chance(3)) {
        limits_.lifetime = milliseconds{3'000};
    }
    if (chance(4)) {
        limits_.bytes = 4'000;
        limits_.closing_bytes = 2'000;
        limits_.response_reserve = 300;
    }
    for (std::uint16_t port = 1; port <= process_count; ++port) {
        processes_.push_back(start_process(port));
    }
}

cluster::~cluster() = default;

std::size_t cluster::choose(std::size_t options)
{
    return position_ < script_.size() ? script_[position_++] % options : 0;
}

cluster::process_ptr cluster::start_process(std::uint16_t port)
{
    auto self = std::make_shared<process>();
    self->node = {next_instance_++, "host", port};
    self->peers = std::make_unique<peers>(*this, self);
    self->local = std::make_unique<executor>(*this, self);
    auto executor_limits = limits_;
    executor_limits.lifetime += milliseconds{500};
    self->keys =
        std::make_unique<executor_keys>(self->node.instance, std::string{secret}, executor_limits);
    const candidate_client candidates{self->node.instance, *self->peers, *self->local};
    self->owner =
        std::make_shared<key_owner>(key_owner_options{self->node, std::string{secret}, limits_, {}},
                                    candidates, selection(), environment_of(self));
    self->settlement = std::make_shared<key_settlement>(std::string{secret}, candidates,
                                                        environment_of(self), settle_timing{});
    return self;
}

cluster::process_ptr cluster::process_at(const node_reference& node) const
{
    return processes_[node.node_port - 1U];
}

bool cluster::is_alive(const node_reference& node) const
{
    return process_at(node)->alive && process_at(node)->node == node;
}

key_environment cluster::environment_of(const std::weak_ptr<process>& self)
{
    const auto run_after = [this, self](milliseconds delay, task work) {
        const time_point due = now() + delay;
        auto& queue = delay >= long_delay ? rarely_chosen_ : pending_;
        queue.push_back([this, self, due, work = std::move(work)] {
            const auto process = self.lock();
            if (process && process->alive) {
                now_ms_ = std::max(now_ms_, due.time_since_epoch().count());
                work();
            }
        });
    };
    return {[this] { return now(); }, run_after,
            [this](const node_reference& node) { return !is_alive(node); }};
}

candidate_selection cluster::selection()
{
    const auto choose_candidates = [this](const std::string&) {
        std::vector<node_reference> chosen;
        const std::size_t first = choose(process_count);
        const std::size_t count = 1 + choose(process_count);
        for (std::size_t i = 0; i < count; ++i) {
            chosen.push_back(processes_[(first + i) % process_count]->node);
        }
        return chosen;
    };
    const auto rank = [this](const service_call&, std::vector<node_reference> untried) {
        if (!untried.empty()) {
            std::rotate(untried.begin(),
                        untried.begin() + static_cast<std::ptrdiff_t>(choose(untried.size())),
                        untried.end());
        }
        return untried;
    };
    return {choose_candidates, rank};
}

void cluster::transmit(const node_reference& to, std::function<void(const process_ptr&)> deliver,
                       const task& refused, task lost)
{
    if (!chance(10)) {
        pending_.push_back([this, to, deliver = std::move(deliver), refused] {
            const auto target = process_at(to);
            if (!target->alive) {
                refused();
                return;
            }
            deliver(target);
        });
    }
    (chance(4) ? pending_ : rarely_chosen_).push_back(std::move(lost));
}

void cluster::receive_call(const process_ptr& self, const service_call& call, const call_done& done)
{
    const auto fingerprint = request_fingerprint(call.request);
    auto decision = self->keys->enqueue(call.idempotency_key, fingerprint, done, now());
    if (chance(8)) {
        // A duplicate of the call that arrives at any later time. No caller waits for its reply.
        pending_.push_back([this, self, call] {
            if (self->alive) {
                receive_call(self, call, [](const call_result&) {});
            }
        });
    }
    if (decision.action == execution_decision::kind::answered) {
        done(std::move(decision.result));
        return;
    }
    if (decision.action == execution_decision::kind::run) {
        pending_.push_back([this, self, id = decision.id, call] { take_slot(self, id, call); });
    }
}

void cluster::take_slot(const process_ptr& self, const key_id& id, const service_call& call)
{
    if (!self->alive) {
        return;
    }
    if (chance(5)) {
        self->keys->refuse(id, reason_code::queue_timeout, now());
        return;
    }
    if (self->keys->start(id)) {
        started_.insert({self->node.instance, call.idempotency_key});
        pending_.push_back([this, self, id, call] { run_upstream(self, id, call); });
    }
}

void cluster::run_upstream(const process_ptr& self, const key_id& id, const service_call& call)
{
    const std::size_t draw = choose(10);
    if (!self->alive) {
        return;
    }
    if (draw == 9) {
        self->keys->finish(id, not_run(reason_code::upstream_refused), now());
        return;
    }
    const std::size_t run = history_.executions.size();
    history_.executions.push_back({call.idempotency_key, call.request.body, now_ms_, {}, ""});
    pending_.push_back([this, self, id, run, lost = draw == 8] {
        auto& execution = history_.executions[run];
        execution.end = now_ms_;
        execution.response = "response " + std::to_string(run);
        if (!self->alive) {
            return;
        }
        if (lost) {
            history_.disturbances.push_back(
                {history::disturbance_record::kind::fault, "upstream", now_ms_});
            self->keys->finish(id, unknown_outcome(reason_code::upstream_connection_lost), now());
            return;
        }
        self->keys->finish(
            id, {call_outcome::completed, reason_code::none, {200, {}, execution.response}, {}},
            now());
    });
}

absl::StatusOr<settle_result> cluster::receive_settle(process& self, const std::string& key)
{
    if (defect_ == injected_defect::fence_is_not_kept &&
        started_.count({self.node.instance, key}) == 0U) {
        return settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}};
    }
    return self.keys->settle(key, now());
}

void cluster::issue_key()
{
    const auto& issuer = processes_[choose(process_count)];
    if (issuer->alive) {
        keys_.push_back(issuer->owner->issue("ledger", 1)->front());
    }
}

void cluster::invoke(const process_ptr& ingress, std::size_t key_index, bool query)
{
    const std::string& key = keys_[key_index];
    service_call call;
    call.service = "ledger";
    call.deadline = now() + call_limit;
    call.idempotency_key = key;
    call.request = {"POST", "/", {}, "payload " + std::to_string(key_index)};
    if (!query && chance(12)) {
        call.request.body = call.request.body.str() + " altered";
    }
    auto new_invocation = std::make_shared<invocation>();
    new_invocation->ingress = ingress;
    new_invocation->record.id = std::to_string(invocations_.size());
    new_invocation->record.key = key;
    new_invocation->record.payload = query ? "" : call.request.body;
    new_invocation->record.start = now_ms_;
    const auto content = decode(key, secret);
    for (const auto& candidate : content->candidates) {
        new_invocation->record.candidates.push_back(std::to_string(candidate.instance));
    }
    invocations_.push_back(new_invocation);
    send_to_owner(ingress, call, query, [this, new_invocation](const call_result& result) {
        ++new_invocation->results;
        new_invocation->record.end = now_ms_;
        new_invocation->record.outcome = result.outcome;
        new_invocation->record.reason = result.reason;
        new_invocation->record.response = result.response.body;
        history_.calls.push_back(new_invocation->record);
    });
}

void cluster::send_to_owner(const process_ptr& ingress, const service_call& call, bool query,
                            const call_done& done)
{
    const auto owner = decode(call.idempotency_key, secret)->owner;
    if (owner == ingress->node) {
        if (query) {
            ingress->owner->query(call.idempotency_key, call.deadline, done);
            return;
        }
        ingress->owner->run(call, done);
        return;
    }
    ingress->peers->forward(
        owner, call, query, [this, ingress, call, query, done](const call_result& result) {
            const bool unreachable = result.outcome == call_outcome::unknown &&
                                     (result.reason == reason_code::owner_unreachable ||
                                      result.reason == reason_code::wrong_instance);
            if (!unreachable) {
                done(result);
                return;
            }
            if (defect_ == injected_defect::failed_forward_is_proof) {
                done(not_run(reason_code::peer_unreachable));
                return;
            }
            if (chance(3)) {
                send_to_owner(ingress, call, query, done);
                return;
            }
            const auto request =
                query ? std::nullopt : std::optional{request_fingerprint(call.request)};
            ingress->settlement->settle(call.idempotency_key, request, now() + call_limit, done);
        });
}

void cluster::crash_or_restart(std::size_t index)
{
    auto& target = processes_[index];
    if (target->alive) {
        target->alive = false;
        history_.disturbances.push_back({history::disturbance_record::kind::death,
                                         std::to_string(target->node.instance), now_ms_});
        return;
    }
    target = start_process(target->node.node_port);
}

void cluster::run_task(std::vector<task>& tasks, std::size_t index)
{
    task work = std::move(tasks[index]);
    tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(index));
    now_ms_ += 1;
    work();
}

void cluster::step()
{
    const std::size_t action = choose(16);
    if (action == 0) {
        issue_key();
    }
    else if (action <= 3 && !keys_.empty()) {
        const auto& ingress = processes_[choose(process_count)];
        // Prefers recent keys, because most older ones are final.
        const std::size_t back = choose(std::min<std::size_t>(keys_.size(), 4));
        if (ingress->alive) {
            invoke(ingress, keys_.size() - 1 - back, action == 3 && chance(2));
        }
    }
    else if (action == 4 && chance(5)) {
        crash_or_restart(choose(process_count));
    }
    else if (action == 5 && !rarely_chosen_.empty()) {
        run_task(rarely_chosen_, choose(rarely_chosen_.size()));
    }
    else if (!pending_.empty()) {
        run_task(pending_, choose(pending_.size()));
    }
}

void cluster::drain()
{
    for (std::size_t steps = 0; !pending_.empty() || !rarely_chosen_.empty(); ++steps) {
        if (steps == max_drain_steps) {
            drained_ = false;
            return;
        }
        run_task(pending_.empty() ? rarely_chosen_ : pending_, 0);
    }
}

run_report cluster::run()
{
    while (position_ < script_.size()) {
        step();
    }
    drain();
    const std::size_t last_queries = invocations_.size();
    for (std::size_t i = 0; i < keys_.size(); ++i) {
        const auto owner = decode(keys_[i], secret)->owner;
        if (is_alive(owner)) {
            invoke(process_at(owner), i, true);
        }
    }
    drain();
    run_report result;
    result.drained = drained_;
    result.executions = history_.executions.size();
    for (std::size_t i = 0; i < invocations_.size(); ++i) {
        const auto& invocation = *invocations_[i];
        const bool running = invocation.record.reason == reason_code::key_running;
        if (invocation.ingress->alive &&
            (invocation.results != 1 || (i >= last_queries && running))) {
            ++result.unsettled;
        }
    }
    result.report = history::check(history_);
    return result;
}

} // namespace chestnutstand::simulation
