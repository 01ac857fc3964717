#include "policy_model.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace chestnutstand::benchmark {
namespace {

constexpr milliseconds same_data_centre{0.1};
constexpr milliseconds fast_failure{0.05};
/// Spread of the service times; the 99th percentile is about 2.8 times the mean.
constexpr double service_sigma = 0.5;
constexpr double cold_factor = 5.0;

} // namespace

void event_loop::after(milliseconds delay, std::function<void()> work)
{
    events_.push({now_ + delay, next_sequence_++, std::move(work)});
}

void event_loop::run_until(time_point end)
{
    while (!events_.empty() && events_.top().due <= end) {
        event next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.due;
        next.work();
    }
    now_ = end;
}

fake_upstream::fake_upstream(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                             std::uint64_t seed)
    : loop_{loop}, instance_{instance}, data_centre_{data_centre}, random_{seed}
{
}

void fake_upstream::execute(const call& what, call_done done)
{
    job next{std::move(done), what.cancel};
    if (busy_ < slots) {
        start(std::move(next));
        return;
    }
    if (queue_.size() >= queue_limit) {
        call_result refused = not_run(reason::queue_full);
        refused.load = report();
        next.done(std::move(refused));
        return;
    }
    queue_.push_back(std::move(next));
}

void fake_upstream::start(job next)
{
    ++busy_;
    const milliseconds elapsed = fails_fast ? fast_failure : service_time();
    loop_.after(elapsed, [this, ended = std::move(next), elapsed] { finish(ended, elapsed); });
}

void fake_upstream::finish(const job& ended, milliseconds elapsed)
{
    --busy_;
    served_ += 1.0;
    latency_ += (elapsed - latency_) * 0.2;
    while (!queue_.empty() && busy_ < slots) {
        job next = std::move(queue_.front());
        queue_.pop_front();
        if (next.cancel && next.cancel->cancelled()) {
            next.done(not_run(reason::caller_gone));
            continue;
        }
        start(std::move(next));
    }
    call_result result;
    result.outcome = outcome::completed;
    result.why = reason::none;
    result.response.status = fails_fast ? 500 : 200;
    result.load = report();
    ended.done(std::move(result));
}

milliseconds fake_upstream::service_time()
{
    std::lognormal_distribution<double> spread{-service_sigma * service_sigma / 2, service_sigma};
    const double coldness = cold_calls > 0.0 ? std::max(0.0, 1.0 - served_ / cold_calls) : 0.0;
    return mean_service * spread(random_) * slowdown * (1.0 + (cold_factor - 1.0) * coldness);
}

load_report fake_upstream::report() const
{
    load_report load;
    load.instance = instance_;
    load.limit = slots;
    load.upstream_registered = true;
    if (!misleads) {
        load.in_flight = busy_;
        load.queues = {{"lookup", static_cast<std::uint32_t>(queue_.size())}};
        load.latency = latency_;
    }
    return load;
}

fake_upstream& fake_network::find(const node_reference& target)
{
    return **std::find_if(upstreams_.begin(), upstreams_.end(), [&target](const auto& entry) {
        return entry->instance() == target.instance;
    });
}

milliseconds fake_network::one_way(const fake_upstream& target) const
{
    return target.data_centre() == data_centre_ ? same_data_centre : between_data_centres_;
}

void fake_network::execute(const node_reference& target, const call& what, call_done done)
{
    fake_upstream& upstream = find(target);
    const milliseconds delay = one_way(upstream);
    call_done reply = [this, delay, done = std::move(done)](call_result result) {
        loop_.after(delay, [done, result = std::move(result)] { done(result); });
    };
    loop_.after(delay,
                [&upstream, what, reply = std::move(reply)] { upstream.execute(what, reply); });
}

void fake_network::probe(const node_reference& target, milliseconds /*timeout*/, probe_done done)
{
    fake_upstream& upstream = find(target);
    const milliseconds delay = one_way(upstream);
    loop_.after(delay, [this, &upstream, delay, done = std::move(done)] {
        loop_.after(delay, [done, report = upstream.report()] { done(report); });
    });
}

} // namespace chestnutstand::benchmark
