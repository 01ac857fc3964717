#include "quota_simulation.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr const char* tenant_name = "acme";
constexpr double max_message_ms = 10.0;
constexpr double max_gossip_ms = 1'000.0;
constexpr double max_heal_ms = 10'000.0;
constexpr double max_apply_ms = 2'000.0;
constexpr double min_detection_ms = 500.0;
constexpr double ms_per_s = 1'000.0;
constexpr milliseconds suspicion_timeout{3'000};
constexpr milliseconds tick_period{250};
constexpr milliseconds window{5'000};
constexpr milliseconds call_limit{5'000};

} // namespace

quota_simulation::quota_simulation(std::size_t nodes, const quota_limit& limit, std::uint64_t seed)
    : random_{seed}, limit_{limit}, groups_(nodes, 0), load_(nodes, 0.0), load_versions_(nodes, 0)
{
    for (std::size_t node = 0; node < nodes; ++node) {
        nodes_.push_back(start_process(node));
    }
}

milliseconds quota_simulation::random_time(double max_ms)
{
    return milliseconds{std::uniform_real_distribution<double>{0.0, max_ms}(random_)};
}

quota_simulation::process_ptr quota_simulation::start_process(std::size_t node)
{
    auto started = std::make_shared<process>();
    // Spread like the random instance ids of real nodes.
    started->instance = next_instance_++ * 0x9e3779b97f4a7c15ULL;
    started->tracker = std::make_unique<quota_view_tracker>(started->instance, loop_.now());
    started->heard = loop_.now();
    apply_document(started);
    quota_environment environment;
    environment.now = [this] { return loop_.now(); };
    environment.phase = std::uniform_real_distribution<double>{0.0, 1.0}(random_);
    environment.ask = [this, node, weak = std::weak_ptr<process>{started}](
                          const node_reference& target, const quota_request& request,
                          milliseconds timeout, peer_client::quota_done done) {
        ask(node, weak.lock(), target, request, timeout, std::move(done));
    };
    started->quotas = std::make_unique<quota_service>(started->instance, std::move(environment),
                                                      started->in_force, started->stats);
    processes_.emplace_back(node, started);
    loop_.after(random_time(tick_period.count()), [this, node, started] { tick(node, started); });
    return started;
}

void quota_simulation::apply_document(const process_ptr& to) const
{
    auto changed = std::make_shared<document>();
    changed->version = version_;
    changed->tenants.push_back({tenant_name, {}, {}, limit_.rate_per_s, limit_.burst});
    to->in_force.store(std::move(changed));
}

bool quota_simulation::can_run(const process_ptr& target) const
{
    return target->running && target->paused_until <= loop_.now();
}

bool quota_simulation::connected(std::size_t from, std::size_t to) const
{
    return groups_[from] == groups_[to];
}

void quota_simulation::ask(std::size_t from, const process_ptr& asker, const node_reference& target,
                           const quota_request& request, milliseconds timeout,
                           peer_client::quota_done done)
{
    ++messages;
    const auto once = std::make_shared<peer_client::quota_done>(std::move(done));
    const auto finish = [once, asker](const absl::StatusOr<quota_reply>& reply) {
        if (*once && asker->running) {
            const auto taken = std::exchange(*once, nullptr);
            taken(reply);
        }
    };
    const milliseconds pause = std::max(milliseconds{0}, asker->paused_until - loop_.now());
    loop_.after(std::max(timeout, pause),
                [finish] { finish(absl::DeadlineExceededError("no reply")); });
    loop_.after(random_time(max_message_ms), [this, from, asker, target, request, finish] {
        const auto found =
            std::find_if(processes_.begin(), processes_.end(), [&](const auto& other) {
                return other.second->instance == target.instance;
            });
        const std::size_t to = found->first;
        const process_ptr& receiver = found->second;
        if (!connected(from, to) || !can_run(receiver)) {
            return;
        }
        receiver->quotas->handle(request, [this, from, to, asker, finish](const auto& reply) {
            loop_.after(random_time(max_message_ms), [this, from, to, asker, finish, reply] {
                if (connected(from, to) && can_run(asker)) {
                    finish(reply);
                }
            });
        });
    });
}

void quota_simulation::update_belief(std::size_t observer, belief& held, std::size_t about,
                                     const process_ptr& process, bool reachable)
{
    const time_point now = loop_.now();
    if (reachable != held.reachable) {
        held.reachable = reachable;
        held.changed = now;
        const bool was_cut_off = held.cut_off;
        held.cut_off = !reachable && !connected(observer, about);
        const auto side =
            static_cast<double>(std::count(groups_.begin(), groups_.end(), groups_[observer]));
        const auto all = static_cast<double>(nodes_.size());
        held.detection = milliseconds{min_detection_ms} + random_time(ms_per_s * all / side);
        const bool is_retried = was_cut_off && held.state == liveness::dead;
        held.recovery = random_time(max_gossip_ms) + (is_retried ? heal_delay_ : milliseconds{0});
    }
    const milliseconds elapsed = now - held.changed;
    if (reachable) {
        if (elapsed >= held.recovery) {
            held.state = liveness::alive;
        }
    }
    else if (elapsed >= held.detection + suspicion_timeout) {
        held.state = liveness::dead;
    }
    else if (elapsed >= held.detection && held.state == liveness::alive) {
        held.state = liveness::suspect;
    }
    // The successor declares its predecessor at the same address dead.
    if (nodes_[about] != process && reachable) {
        held.state = liveness::dead;
    }
}

void quota_simulation::tick(std::size_t node, const process_ptr& self)
{
    if (!self->running) {
        return;
    }
    loop_.after(tick_period, [this, node, self] { tick(node, self); });
    const time_point now = loop_.now();
    if (!can_run(self)) {
        // Members move their timers after a pause; see swim::detect_pause().
        for (auto& [instance, held] : self->beliefs) {
            held.changed = std::max(held.changed, now);
        }
        return;
    }
    std::vector<member> members;
    const auto add = [&](std::size_t at, const process_ptr& other, liveness state, bool draining) {
        member known;
        known.node = {other->instance, "10.0.0." + std::to_string(at), 1};
        known.gossip_port = 1;
        known.state = state;
        known.draining = draining;
        members.push_back(known);
    };
    add(node, self, liveness::alive, self->draining);
    bool alone = true;
    for (const auto& [at, other] : processes_) {
        if (other == self) {
            continue;
        }
        const bool reachable = connected(node, at) && can_run(other);
        const auto [found, is_new] = self->beliefs.try_emplace(other->instance);
        belief& held = found->second;
        if (is_new) {
            held.known_from = now + random_time(max_gossip_ms);
            held.changed = now;
            if (!reachable) {
                // Not known to a process that has never reached it.
                held.known_from = time_point::max();
                held.cut_off = !connected(node, at);
            }
        }
        if (held.known_from == time_point::max() && reachable) {
            held.known_from =
                now + random_time(max_gossip_ms) + (held.cut_off ? heal_delay_ : milliseconds{0});
        }
        if (now < held.known_from) {
            continue;
        }
        update_belief(node, held, at, other, reachable);
        held.draining = held.draining || (reachable && other->draining &&
                                          now - other->drained_at > random_time(max_gossip_ms));
        add(at, other, held.state, held.draining);
        if (reachable) {
            self->heard = now;
            alone = false;
        }
    }
    const milliseconds silence = alone ? now - self->heard : milliseconds{0};
    self->quotas->set_view(self->tracker->update(members, silence, nodes_.size(), now));
    self->quotas->drop_idle();
}

void quota_simulation::set_load(std::size_t node, double per_s)
{
    load_[node] = per_s;
    offer(node, ++load_versions_[node]);
}

void quota_simulation::offer(std::size_t node, std::uint64_t load_version)
{
    if (load_version != load_versions_[node] || load_[node] <= 0.0) {
        return;
    }
    const milliseconds gap{std::exponential_distribution<double>{load_[node] / ms_per_s}(random_)};
    loop_.after(gap, [this, node, load_version] {
        if (load_version != load_versions_[node]) {
            return;
        }
        offer(node, load_version);
        const process_ptr entry = nodes_[node];
        if (!can_run(entry)) {
            return;
        }
        service_call call;
        call.tenant = tenant_name;
        call.deadline = loop_.now() + call_limit;
        const time_point offered = loop_.now();
        entry->quotas->admit(call, [this, offered](const quota_verdict& verdict) {
            (verdict.admitted ? admitted : refused).push_back(loop_.now());
            waited += loop_.now() > offered ? 1U : 0U;
        });
    });
}

void quota_simulation::set_limit(const quota_limit& limit)
{
    limit_ = limit;
    ++version_;
    for (const auto& [node, to] : processes_) {
        loop_.after(random_time(max_apply_ms), [this, to = to] { apply_document(to); });
    }
}

void quota_simulation::crash(std::size_t node)
{
    nodes_[node]->running = false;
}

void quota_simulation::restart(std::size_t node)
{
    nodes_[node]->running = false;
    nodes_[node] = start_process(node);
}

void quota_simulation::drain(std::size_t node)
{
    nodes_[node]->draining = true;
    nodes_[node]->drained_at = loop_.now();
}

void quota_simulation::pause(std::size_t node, milliseconds time)
{
    nodes_[node]->paused_until = loop_.now() + time;
}

void quota_simulation::partition(const std::vector<int>& groups)
{
    groups_ = groups;
    heal_delay_ = random_time(max_heal_ms);
}

std::size_t quota_simulation::owner() const
{
    std::size_t found = 0;
    std::uint64_t most = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        const std::uint64_t granted =
            nodes_[node]->stats.counter("chestnutstand_quota_tokens_granted_total");
        if (granted > most) {
            most = granted;
            found = node;
        }
    }
    return found;
}

std::size_t quota_simulation::largest_window(time_point from, time_point to) const
{
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= window) {
            ++first;
        }
        if (admitted[first] >= from && admitted[last] <= to) {
            largest = std::max(largest, last - first + 1);
        }
    }
    return largest;
}

} // namespace chestnutstand
