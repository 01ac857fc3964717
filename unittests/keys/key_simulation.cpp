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

/// Forwards the first result only, and only while the receiving process lives.
template <typename Result, typename Alive>
std::function<void(Result)> once(std::function<void(Result)> done, Alive alive)
{
    auto answered = std::make_shared<bool>(false);
    return [done = std::move(done), alive, answered](Result result) {
        if (!std::exchange(*answered, true) && alive()) {
            done(std::move(result));
        }
    };
}

} // namespace

std::function<bool()> cluster::peers::alive()
{
    return [self = self_] {
        const auto process = self.lock();
        return process && process->alive;
    };
}

void cluster::peers::execute(const node_reference& target, const service_call& call, call_done done)
{
    const auto reply = once(std::move(done), alive());
    all_.transmit(
        target,
        [&all = all_, call, target, reply](const process_ptr& at) {
            if (at->node != target) {
                later(all, reply)(not_run(reason_code::wrong_instance));
                return;
            }
            all.receive_call(at, call, later(all, reply));
        },
        [reply] { reply(not_run(reason_code::peer_unreachable)); },
        [reply, broken = all_.broken_] {
            reply(broken == injected_defect::lost_reply_is_refusal
                      ? not_run(reason_code::peer_unreachable)
                      : unknown_outcome(reason_code::peer_connection_lost));
        });
}

void cluster::peers::forward(const node_reference& owner, const service_call& call, bool query_only,
                             call_done done)
{
    const auto reply = once(std::move(done), alive());
    all_.transmit(
        owner,
        [&all = all_, call, query_only, reply](const process_ptr& at) {
            if (query_only) {
                at->owner->query(call.idempotency_key, call.deadline, later(all, reply));
                return;
            }
            at->owner->run(call, later(all, reply));
        },
        [reply] { reply(unknown_outcome(reason_code::owner_unreachable)); },
        [reply] { reply(unknown_outcome(reason_code::owner_unreachable)); });
}

void cluster::peers::settle(const node_reference& executor, const std::string& key, milliseconds,
                            settle_done done)
{
    using result = absl::StatusOr<settle_result>;
    const auto reply = once<result>(std::move(done), alive());
    const bool broken = all_.broken_ == injected_defect::silence_is_fence;
    all_.transmit(
        executor,
        [&all = all_, key, executor, reply](const process_ptr& at) {
            later(all, reply)(
                at->node == executor
                    ? all.receive_settle(*at, key)
                    : settle_result{settle_state::wrong_instance, {}, reason_code::none, {}});
        },
        [reply] { reply(absl::UnavailableError("refused")); },
        [reply, broken] {
            reply(broken
                      ? result{settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}}}
                      : result{absl::UnavailableError("lost")});
        });
}

cluster::cluster(std::vector<std::uint8_t> script, injected_defect broken)
    : script_{std::move(script)}, broken_{broken}
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

cluster::process_ptr cluster::at(const node_reference& node) const
{
    return processes_[node.node_port - 1U];
}

bool cluster::is_alive(const node_reference& node) const
{
    return at(node)->alive && at(node)->node == node;
}

key_environment cluster::environment_of(const std::weak_ptr<process>& self)
{
    const auto after = [this, self](milliseconds delay, task work) {
        const time_point due = now() + delay;
        auto& queue = delay >= long_delay ? late_ : pending_;
        queue.push_back([this, self, due, work = std::move(work)] {
            const auto process = self.lock();
            if (process && process->alive) {
                now_ms_ = std::max(now_ms_, due.time_since_epoch().count());
                work();
            }
        });
    };
    return {[this] { return now(); }, after,
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
            const auto target = at(to);
            if (!target->alive) {
                refused();
                return;
            }
            deliver(target);
        });
    }
    (chance(4) ? pending_ : late_).push_back(std::move(lost));
}

void cluster::receive_call(const process_ptr& self, const service_call& call, const call_done& done)
{
    const auto fingerprint = request_fingerprint(call.request);
    auto decision = self->keys->enqueue(call.idempotency_key, fingerprint, done, now());
    if (chance(8)) {
        // A second copy of the call that arrives at any time later; nobody waits for its reply.
        pending_.push_back([this, self, call] {
            if (self->alive) {
                receive_call(self, call, [](const call_result&) {});
            }
        });
    }
    if (decision.what == execution_decision::kind::answered) {
        done(std::move(decision.result));
        return;
    }
    if (decision.what == execution_decision::kind::run) {
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
    const std::size_t way = choose(10);
    if (!self->alive) {
        return;
    }
    if (way == 9) {
        self->keys->finish(id, not_run(reason_code::upstream_refused), now());
        return;
    }
    const std::size_t run = seen_.executions.size();
    seen_.executions.push_back({call.idempotency_key, call.request.body, now_ms_, {}, ""});
    pending_.push_back([this, self, id, run, lost = way == 8] {
        auto& execution = seen_.executions[run];
        execution.end = now_ms_;
        execution.response = "response " + std::to_string(run);
        if (!self->alive) {
            return;
        }
        if (lost) {
            seen_.disturbances.push_back(
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
    if (broken_ == injected_defect::fence_is_not_kept &&
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
        call.request.body += " altered";
    }
    auto made = std::make_shared<invocation>();
    made->ingress = ingress;
    made->record.id = std::to_string(invocations_.size());
    made->record.key = key;
    made->record.payload = query ? "" : call.request.body;
    made->record.start = now_ms_;
    const auto content = decode(key, secret);
    for (const auto& candidate : content->candidates) {
        made->record.candidates.push_back(std::to_string(candidate.instance));
    }
    invocations_.push_back(made);
    ask_owner(ingress, call, query, [this, made](const call_result& result) {
        ++made->answers;
        made->record.end = now_ms_;
        made->record.outcome = result.outcome;
        made->record.reason = result.reason;
        made->record.response = result.response.body;
        seen_.calls.push_back(made->record);
    });
}

void cluster::ask_owner(const process_ptr& ingress, const service_call& call, bool query,
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
            const bool out_of_reach = result.outcome == call_outcome::unknown &&
                                      (result.reason == reason_code::owner_unreachable ||
                                       result.reason == reason_code::wrong_instance);
            if (!out_of_reach) {
                done(result);
                return;
            }
            if (broken_ == injected_defect::failed_forward_is_proof) {
                done(not_run(reason_code::peer_unreachable));
                return;
            }
            if (chance(3)) {
                ask_owner(ingress, call, query, done);
                return;
            }
            const auto request =
                query ? std::nullopt : std::optional{request_fingerprint(call.request)};
            ingress->settlement->settle(call.idempotency_key, request, now() + call_limit, done);
        });
}

void cluster::crash(std::size_t index)
{
    auto& victim = processes_[index];
    if (victim->alive) {
        victim->alive = false;
        seen_.disturbances.push_back({history::disturbance_record::kind::death,
                                      std::to_string(victim->node.instance), now_ms_});
        return;
    }
    victim = start_process(victim->node.node_port);
}

void cluster::fire(std::vector<task>& from, std::size_t index)
{
    task work = std::move(from[index]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
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
        // Recent keys are more interesting, because most of the others are final.
        const std::size_t back = choose(std::min<std::size_t>(keys_.size(), 4));
        if (ingress->alive) {
            invoke(ingress, keys_.size() - 1 - back, action == 3 && chance(2));
        }
    }
    else if (action == 4 && chance(5)) {
        crash(choose(process_count));
    }
    else if (action == 5 && !late_.empty()) {
        fire(late_, choose(late_.size()));
    }
    else if (!pending_.empty()) {
        fire(pending_, choose(pending_.size()));
    }
}

void cluster::drain()
{
    for (std::size_t steps = 0; !pending_.empty() || !late_.empty(); ++steps) {
        if (steps == max_drain_steps) {
            drained_ = false;
            return;
        }
        fire(pending_.empty() ? late_ : pending_, 0);
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
            invoke(at(owner), i, true);
        }
    }
    drain();
    run_report result;
    result.drained = drained_;
    result.executions = seen_.executions.size();
    for (std::size_t i = 0; i < invocations_.size(); ++i) {
        const auto& each = *invocations_[i];
        const bool running = each.record.reason == reason_code::key_running;
        if (each.ingress->alive && (each.answers != 1 || (i >= last_queries && running))) {
            ++result.unsettled;
        }
    }
    result.checked = history::check(seen_);
    return result;
}

} // namespace chestnutstand::simulation
