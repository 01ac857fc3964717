#include "replay_model.h"

#include "chestnutstand/admission/retry_delay.h"

#include <algorithm>
#include <utility>

namespace chestnutstand::replay {
namespace {

constexpr milliseconds between_data_centres{1.5};
constexpr milliseconds fixed_retry_delay{1'000};
/// Deadline of each try of a request as a multiple of its latency target.
constexpr double deadline_targets = 4.0;
/// Longest wait for a refusal that counts as immediate, as a share of the latency target.
constexpr double immediate_refusal_share = 0.125;
constexpr double leaving_share_of_target = 0.5;
constexpr milliseconds drain_time{5'000};
constexpr std::uint32_t attempts = 3;
constexpr int status_ok = 200;

} // namespace

/// State of one request at its caller, over all its tries.
struct model::request_state {
    std::size_t kind = 0;
    time_point begun;
    time_point sent;
    /// Time that its tries have spent waiting for results.
    milliseconds waited{0};
    bool counted = false;
    bool finished = false;
    int caller_retries = 0;
    std::shared_ptr<cancellation> cancel;
};

model::model(replay_settings settings, const policy_options& options, std::uint64_t seed)
    : settings_{std::move(settings)}, options_{options}, random_{seed},
      load_factors_(settings_.kinds.size(), 1.0), results_(settings_.kinds.size())
{
    // Each kind has a generator of its own for arrivals, so that all policies get the same load.
    for (std::size_t i = 0; i < settings_.kinds.size(); ++i) {
        arrival_random_.emplace_back(seed * 100 + i);
    }
    service_.name = "desk";
    service_.balancing_policy = options_.balancing;
    for (const kind& request_kind : settings_.kinds) {
        service_.priorities.push_back(
            {request_kind.name, request_kind.target, request_kind.weight, true});
    }
    publish_document();
    for (std::size_t i = 0; i < settings_.upstreams; ++i) {
        add_member(i % settings_.data_centres);
    }
    publish_members();
    for (std::size_t i = 0; i < settings_.dispatchers; ++i) {
        add_dispatcher(i % settings_.data_centres);
    }
}

replay_member& model::add_member(std::size_t data_centre)
{
    const std::uint64_t instance = members_.size() + 1;
    routed_indexes_.push_back(members_.size());
    members_.push_back(std::make_unique<replay_member>(loop_, instance, data_centre, service_,
                                                       options_, random_()));
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
    for (const std::size_t index : routed_indexes_) {
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
    std::erase(routed_indexes_, index);
    publish_members();
}

void model::add_cold_member(double factor, milliseconds warm_after)
{
    replay_member& added = add_member(members_.size() % settings_.data_centres);
    added.cold_factor = factor;
    added.warm_at = loop_.now() + warm_after;
    publish_members();
}

std::vector<kind_result> model::play(const pattern& load)
{
    start_ = loop_.now();
    load.prepare(*this);
    for (std::size_t i = 0; i < settings_.kinds.size(); ++i) {
        schedule_arrival(i);
    }
    loop_.run_until(start_ + warm_up + measured);
    ended_ = true;
    loop_.run_until(start_ + warm_up + measured + drain_time);
    return results_;
}

void model::schedule_arrival(std::size_t kind)
{
    const auto& request_kind = settings_.kinds[kind];
    const double slots = static_cast<double>(settings_.upstreams) * replay_member::slots;
    const double per_ms =
        request_kind.load * load_factors_[kind] * slots / request_kind.mean_work.count();
    std::exponential_distribution<double> gap{per_ms};
    loop_.after(milliseconds{gap(arrival_random_[kind])}, [this, kind] {
        if (!ended_) {
            arrive(kind);
            schedule_arrival(kind);
        }
    });
}

void model::arrive(std::size_t kind)
{
    const auto request = std::make_shared<request_state>();
    request->kind = kind;
    request->begun = loop_.now();
    request->counted = is_measuring();
    results_[kind].offered += request->counted ? 1 : 0;
    std::uniform_real_distribution<double> share{0.0, 1.0};
    if (share(arrival_random_[kind]) < settings_.leaving_share) {
        loop_.after(settings_.kinds[kind].target * leaving_share_of_target,
                    [this, request] { leave(request); });
    }
    send(request);
}

void model::send(const request_ptr& request)
{
    const kind& request_kind = settings_.kinds[request->kind];
    service_call call;
    call.service = service_.name;
    call.priority = request_kind.name;
    call.repeat = repeatability::repeatable;
    call.retry_budget = attempts - 1;
    request->sent = loop_.now();
    call.deadline = request->sent + request_kind.target * deadline_targets;
    call.request.body = std::to_string(request_kind.mean_work.count());
    call.cancel = request->cancel = std::make_shared<cancellation>();
    std::uniform_int_distribution<std::size_t> index{0, dispatchers_.size() - 1};
    dispatchers_[index(arrival_random_[request->kind])]->dispatch(
        call, [this, request](const call_result& result) { finish(request, result); });
}

void model::finish(const request_ptr& request, const call_result& result)
{
    if (request->finished) {
        return;
    }
    const kind& request_kind = settings_.kinds[request->kind];
    const milliseconds elapsed = loop_.now() - request->begun;
    const milliseconds waited = loop_.now() - request->sent;
    request->waited += waited;
    if (result.outcome == call_outcome::not_run &&
        request->caller_retries < settings_.max_caller_retries) {
        std::uniform_real_distribution<double> position{0.0, 1.0};
        milliseconds pause = options_.retry_within_target
                                 ? retry_delay(request_kind.target, position(random_))
                                 : fixed_retry_delay;
        pause = settings_.retry_at_once ? milliseconds{1} : pause;
        ++request->caller_retries;
        loop_.after(pause, [this, request] {
            if (!request->finished) {
                send(request);
            }
        });
        return;
    }
    request->finished = true;
    if (!request->counted) {
        return;
    }
    kind_result& sums = results_[request->kind];
    if (result.outcome == call_outcome::completed && result.response.status == status_ok) {
        ++(elapsed <= request_kind.target ? sums.in_target : sums.late);
        return;
    }
    sums.wasted_wait_ms += request->waited.count();
    if (result.outcome == call_outcome::not_run) {
        ++(waited <= request_kind.target * immediate_refusal_share ? sums.refused_at_once
                                                                   : sums.refused_after_waiting);
        return;
    }
    ++sums.failed;
}

void model::leave(const request_ptr& request)
{
    if (std::exchange(request->finished, true)) {
        return;
    }
    if (request->counted) {
        ++results_[request->kind].left;
    }
    if (options_.cancel_abandoned) {
        request->cancel->cancel();
    }
}

kind_result total(const replay_settings& settings, const policy_options& options,
                  const pattern& load, std::uint64_t seeds)
{
    kind_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const kind_result& result : model{settings, options, seed}.play(load)) {
            sum.offered += result.offered;
            sum.in_target += result.in_target;
            sum.late += result.late;
            sum.refused_at_once += result.refused_at_once;
            sum.refused_after_waiting += result.refused_after_waiting;
            sum.failed += result.failed;
            sum.left += result.left;
            sum.wasted_wait_ms += result.wasted_wait_ms;
        }
    }
    return sum;
}

} // namespace chestnutstand::replay
