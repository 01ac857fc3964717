#include "policy_model.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace chestnutstand::benchmark {
namespace {

constexpr milliseconds fast_failure{0.05};
/// Spread of the service times; the 99th percentile is about 2.8 times the mean.
constexpr double service_sigma = 0.5;
constexpr double cold_factor = 5.0;

} // namespace

fake_upstream::fake_upstream(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                             std::uint64_t seed)
    : model_member{instance, data_centre}, loop_{loop}, random_{seed}
{
}

void fake_upstream::execute(const service_call& call, call_done done)
{
    job next{std::move(done), call.cancel};
    if (busy_ < slots) {
        start(std::move(next));
        return;
    }
    if (queue_.size() >= queue_limit) {
        call_result refused = not_run(reason_code::queue_full);
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
            next.done(not_run(reason_code::caller_gone));
            continue;
        }
        start(std::move(next));
    }
    call_result result;
    result.outcome = call_outcome::completed;
    result.reason = reason_code::none;
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
    load.instance = instance();
    load.limit = slots;
    load.upstream_registered = true;
    if (!misleads) {
        load.in_flight = busy_;
        load.queues = {{"lookup", static_cast<std::uint32_t>(queue_.size())}};
        load.latency = latency_;
    }
    return load;
}

} // namespace chestnutstand::benchmark
