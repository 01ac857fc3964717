#include "replay_model.h"

#include "chestnutstand/admission/return_time.h"

#include <algorithm>
#include <utility>

namespace chestnutstand::replay {
namespace {

constexpr milliseconds between_data_centres{1.5};
constexpr milliseconds fixed_return{1'000};
/// A caller waits this many targets for an answer, again each time it comes back.
constexpr double patience = 4.0;
/// A refusal after more than this share of the target was not given at once.
constexpr double at_once_share = 0.125;
constexpr double leaving_share_of_target = 0.5;
constexpr milliseconds settling{5'000};
constexpr std::uint32_t attempts = 3;
constexpr int status_ok = 200;

} // namespace

/// One request as its caller sees it, over all its returns.
struct model::caller {
    std::size_t kind = 0;
    time_point begun;
    time_point sent;
    /// Time that its tries have spent waiting for answers.
    milliseconds held{0};
    bool counted = false;
    bool over = false;
    int returns = 0;
    std::shared_ptr<cancellation> cancel;
};

model::model(replay_settings described, const policies& chosen, std::uint64_t seed)
    : world_{std::move(described)}, policies_{chosen}, random_{seed},
      bursts_(world_.kinds.size(), 1.0), results_(world_.kinds.size())
{
    // A generator for each kind, used for arrivals only, gives all policies the same load.
    for (std::size_t i = 0; i < world_.kinds.size(); ++i) {
        arrivals_.emplace_back(seed * 100 + i);
    }
    service_.name = "desk";
    service_.balancing_policy = policies_.balancing;
    for (const kind& each : world_.kinds) {
        service_.priorities.push_back({each.name, each.target, each.weight, true});
    }
    publish_document();
    for (std::size_t i = 0; i < world_.upstreams; ++i) {
        add_member(i % world_.data_centres);
    }
    publish_members();
    for (std::size_t i = 0; i < world_.dispatchers; ++i) {
        add_dispatcher(i % world_.data_centres);
    }
}

replay_member& model::add_member(std::size_t data_centre)
{
    const std::uint64_t instance = members_.size() + 1;
    routed_.push_back(members_.size());
    members_.push_back(std::make_unique<replay_member>(loop_, instance, data_centre, service_,
                                                       policies_, random_()));
    return *members_.back();
}

void model::publish_document()
{
    auto declared = std::make_shared<document>();
    declared->services.push_back(service_);
    configuration_.store(std::move(declared));
}

void model::publish_members()
{
    auto table = std::make_shared<routing_table>();
    for (const std::size_t index : routed_) {
        chestnutstand::member entry;
        entry.node = {members_[index]->instance(), "127.0.0.1", 1};
        entry.service = service_.name;
        entry.data_centre = std::to_string(members_[index]->data_centre());
        table->by_service[service_.name].push_back(entry);
    }
    routes_.store(std::move(table));
}

void model::add_dispatcher(std::size_t data_centre)
{
    networks_.push_back(std::make_unique<model_network>(
        loop_, [this](std::uint64_t instance) -> model_member& { return *members_[instance - 1]; },
        data_centre, between_data_centres));
    dispatcher_options options;
    options.self_instance = 1'000 + dispatchers_.size();
    options.data_centre = std::to_string(data_centre);
    options.seed = random_();
    options.now = [this] { return loop_.now(); };
    dispatchers_.push_back(std::make_unique<dispatcher>(*networks_.back(), nullptr, routes_,
                                                        configuration_, counters_, options));
}

void model::at(milliseconds time, std::function<void()> work)
{
    loop_.after(start_ + warm_up + time - loop_.now(), std::move(work));
}

void model::remove_member(std::size_t index)
{
    std::erase(routed_, index);
    publish_members();
}

void model::add_cold_member(double factor, milliseconds warm_after)
{
    replay_member& added = add_member(members_.size() % world_.data_centres);
    added.cold_factor = factor;
    added.warm_at = loop_.now() + warm_after;
    publish_members();
}

std::vector<kind_result> model::play(const pattern& load)
{
    start_ = loop_.now();
    load.prepare(*this);
    for (std::size_t i = 0; i < world_.kinds.size(); ++i) {
        schedule_arrival(i);
    }
    loop_.run_until(start_ + warm_up + measured);
    ended_ = true;
    loop_.run_until(start_ + warm_up + measured + settling);
    return results_;
}

void model::schedule_arrival(std::size_t kind)
{
    const auto& what = world_.kinds[kind];
    const double slots = static_cast<double>(world_.upstreams) * replay_member::slots;
    const double per_ms = what.load * bursts_[kind] * slots / what.mean_work.count();
    std::exponential_distribution<double> gap{per_ms};
    loop_.after(milliseconds{gap(arrivals_[kind])}, [this, kind] {
        if (!ended_) {
            arrive(kind);
            schedule_arrival(kind);
        }
    });
}

void model::arrive(std::size_t kind)
{
    const auto who = std::make_shared<caller>();
    who->kind = kind;
    who->begun = loop_.now();
    who->counted = counts();
    results_[kind].offered += who->counted ? 1 : 0;
    std::uniform_real_distribution<double> share{0.0, 1.0};
    if (share(arrivals_[kind]) < world_.leaving_share) {
        loop_.after(world_.kinds[kind].target * leaving_share_of_target,
                    [this, who] { leave(who); });
    }
    send(who);
}

void model::send(const caller_ptr& who)
{
    const kind& what = world_.kinds[who->kind];
    service_call request;
    request.service = service_.name;
    request.priority = what.name;
    request.repeat = repeatability::repeatable;
    request.retry_budget = attempts - 1;
    who->sent = loop_.now();
    request.deadline = who->sent + what.target * patience;
    request.request.body = std::to_string(what.mean_work.count());
    request.cancel = who->cancel = std::make_shared<cancellation>();
    std::uniform_int_distribution<std::size_t> index{0, dispatchers_.size() - 1};
    dispatchers_[index(arrivals_[who->kind])]->dispatch(
        request, [this, who](const call_result& result) { finish(who, result); });
}

void model::finish(const caller_ptr& who, const call_result& result)
{
    if (who->over) {
        return;
    }
    const kind& what = world_.kinds[who->kind];
    const milliseconds elapsed = loop_.now() - who->begun;
    const milliseconds held = loop_.now() - who->sent;
    who->held += held;
    if (result.outcome == call_outcome::not_run && who->returns < world_.returns) {
        std::uniform_real_distribution<double> position{0.0, 1.0};
        milliseconds pause = policies_.retry_within_target
                                 ? retry_delay(what.target, position(random_))
                                 : fixed_return;
        pause = world_.repeat_at_once ? milliseconds{1} : pause;
        ++who->returns;
        loop_.after(pause, [this, who] {
            if (!who->over) {
                send(who);
            }
        });
        return;
    }
    who->over = true;
    if (!who->counted) {
        return;
    }
    kind_result& sums = results_[who->kind];
    if (result.outcome == call_outcome::completed && result.response.status == status_ok) {
        ++(elapsed <= what.target ? sums.in_target : sums.late);
        return;
    }
    sums.wasted_wait_ms += who->held.count();
    if (result.outcome == call_outcome::not_run) {
        ++(held <= what.target * at_once_share ? sums.refused_at_once : sums.refused_after_waiting);
        return;
    }
    ++sums.failed;
}

void model::leave(const caller_ptr& who)
{
    if (std::exchange(who->over, true)) {
        return;
    }
    if (who->counted) {
        ++results_[who->kind].left;
    }
    if (policies_.cancel_abandoned) {
        who->cancel->cancel();
    }
}

kind_result total(const replay_settings& described, const policies& chosen, const pattern& load,
                  std::uint64_t seeds)
{
    kind_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const kind_result& each : model{described, chosen, seed}.play(load)) {
            sum.offered += each.offered;
            sum.in_target += each.in_target;
            sum.late += each.late;
            sum.refused_at_once += each.refused_at_once;
            sum.refused_after_waiting += each.refused_after_waiting;
            sum.failed += each.failed;
            sum.left += each.left;
            sum.wasted_wait_ms += each.wasted_wait_ms;
        }
    }
    return sum;
}

} // namespace chestnutstand::replay
