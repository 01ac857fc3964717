// Compares the balancing policies with the same seeds in a model of several dispatchers in front of
// one service. The dispatcher with its policies, outlier detection, slow start, retries, hedges and
// probes is the real one; upstreams, network and clock are fakes.

#include "policy_model.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chestnutstand;
using namespace chestnutstand::benchmark;

namespace {

constexpr milliseconds warm_up{3'000};
constexpr milliseconds measured{15'000};
/// Faults begin in the middle of the measured period.
constexpr milliseconds fault_at{8'000};
/// A call that takes longer does not count as goodput.
constexpr milliseconds target{200};

/// Alternative to the spill-over of the default: two candidates from all data centres, compared by
/// cost with the distance added as latency.
struct distance_as_latency_policy {
    static constexpr report_source reports = report_source::replies;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& circumstances, random_generator& random) const
    {
        const std::size_t first = random() % candidates.size();
        const std::size_t other = random() % candidates.size();
        return expected_cost(candidates[other], circumstances) <
                       expected_cost(candidates[first], circumstances)
                   ? other
                   : first;
    }
};

const policy_registration<distance_as_latency_policy> register_distance{"distance_as_latency"};

class run;

struct scenario {
    std::string name;
    double load = 0.7;
    std::size_t upstreams = 12;
    std::size_t data_centres = 1;
    std::size_t dispatchers = 8;
    /// Share of the calls that come from the first data centre.
    double first_share = 0.5;
    std::function<void(run&)> prepare;
};

struct figures {
    std::vector<double> latencies;
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t attempts = 0;
};

/// One policy in one scenario.
class run {
public:
    run(const scenario& played, const std::string& policy, bool hedging, std::uint64_t seed)
        : played_{played}, random_{seed}, seed_{seed}
    {
        publish_document(policy);
        for (std::size_t i = 0; i < played.upstreams; ++i) {
            add_upstream(i % played.data_centres);
        }
        publish_members();
        for (std::size_t i = 0; i < played.dispatchers; ++i) {
            add_dispatcher(i % played.data_centres, hedging);
        }
    }

    figures play()
    {
        if (played_.prepare) {
            played_.prepare(*this);
        }
        start_ = loop.now();
        schedule_arrival();
        loop.run_until(start_ + warm_up + measured);
        arrivals_end_ = true;
        loop.run_until(start_ + warm_up + measured + milliseconds{5'000});
        return figures_;
    }

    fake_upstream& add_upstream(std::size_t data_centre)
    {
        const std::uint64_t instance = upstreams.size() + 1;
        upstreams.push_back(
            std::make_unique<fake_upstream>(loop, instance, data_centre, seed_ * 1000 + instance));
        members_.push_back(instance);
        return *upstreams.back();
    }

    void remove_first_members(std::size_t count)
    {
        members_.erase(members_.begin(), members_.begin() + static_cast<std::ptrdiff_t>(count));
    }

    void publish_members()
    {
        auto table = std::make_shared<routing_table>();
        for (const std::uint64_t instance : members_) {
            member entry;
            entry.node = {instance, "127.0.0.1", 1};
            entry.service = "service";
            entry.data_centre = std::to_string(upstreams[instance - 1]->data_centre());
            table->by_service["service"].push_back(entry);
        }
        routes_.store(std::move(table));
    }

    double probes_per_s()
    {
        const auto probes = counters_.counter("chestnutstand_peer_probes_total").load();
        return static_cast<double>(probes) / ((warm_up + measured).count() / 1000);
    }

    event_loop loop;
    std::vector<std::unique_ptr<fake_upstream>> upstreams;

private:
    void publish_document(const std::string& policy)
    {
        service_config service;
        service.name = "service";
        service.priorities = {{"lookup", milliseconds{100}, 1.0, true}};
        service.balancing_policy = policy;
        auto declared = std::make_shared<document>();
        declared->services.push_back(service);
        configuration_.store(std::move(declared));
    }

    void add_dispatcher(std::size_t data_centre, bool hedging)
    {
        networks_.push_back(std::make_unique<model_network>(
            loop,
            [this](std::uint64_t instance) -> model_member& { return *upstreams[instance - 1]; },
            data_centre, milliseconds{1.5}));
        dispatcher_options options;
        options.self_instance = 1000 + dispatchers_.size();
        options.data_centre = std::to_string(data_centre);
        options.seed = seed_ + 100 * dispatchers_.size();
        options.now = [this] { return loop.now(); };
        if (hedging) {
            options.run_after = [this](milliseconds delay, std::function<void()> work) {
                loop.after(delay, std::move(work));
            };
        }
        dispatchers_.push_back(std::make_unique<dispatcher>(*networks_.back(), nullptr, routes_,
                                                            configuration_, counters_, options));
    }

    void schedule_arrival()
    {
        const double capacity_per_ms = static_cast<double>(played_.upstreams) *
                                       fake_upstream::slots / fake_upstream::mean_service.count();
        std::exponential_distribution<double> gap{capacity_per_ms * played_.load};
        loop.after(milliseconds{gap(random_)}, [this] {
            if (arrivals_end_) {
                return;
            }
            arrive();
            schedule_arrival();
        });
    }

    void arrive()
    {
        std::size_t index =
            std::uniform_int_distribution<std::size_t>{0, played_.dispatchers - 1}(random_);
        if (played_.data_centres == 2) {
            const bool first =
                std::uniform_real_distribution<double>{}(random_) < played_.first_share;
            index = index / 2 * 2 + (first ? 0 : 1);
        }
        service_call call;
        call.service = "service";
        call.priority = "lookup";
        call.retry_budget = 3;
        const time_point begun = loop.now();
        call.deadline = begun + milliseconds{1'000};
        const bool counted = begun >= start_ + warm_up;
        figures_.offered += counted ? 1 : 0;
        dispatchers_[index]->dispatch(call, [this, begun, counted](const call_result& result) {
            if (!counted || result.outcome != call_outcome::completed ||
                result.response.status != 200) {
                return;
            }
            const milliseconds elapsed = loop.now() - begun;
            figures_.latencies.push_back(elapsed.count());
            figures_.good += elapsed <= target ? 1 : 0;
        });
    }

    const scenario& played_;
    random_generator random_;
    std::uint64_t seed_;
    snapshot<routing_table> routes_;
    snapshot<document> configuration_;
    metrics counters_;
    std::vector<std::uint64_t> members_;
    std::vector<std::unique_ptr<model_network>> networks_;
    std::vector<std::unique_ptr<dispatcher>> dispatchers_;
    time_point start_;
    bool arrivals_end_ = false;
    figures figures_;
};

/// Changes the service time of a random upstream again and again.
void make_noise(run& model, const std::shared_ptr<random_generator>& random)
{
    fake_upstream& any = *model.upstreams[(*random)() % model.upstreams.size()];
    any.slowdown = any.slowdown > 1.0 ? 1.0 : 4.0;
    // Back to normal three times as often, so that about a quarter is slow at any time.
    fake_upstream& other = *model.upstreams[(*random)() % model.upstreams.size()];
    other.slowdown = 1.0;
    model.loop.after(milliseconds{30}, [&model, random] { make_noise(model, random); });
}

std::vector<scenario> all_scenarios()
{
    const auto at_fault = [](auto change) {
        return [change](run& model) {
            model.loop.after(fault_at, [&model, change] { change(model); });
        };
    };
    return {
        {"steady 50%", 0.50, 12, 1, 8, 0.5, {}},
        {"steady 70%", 0.70, 12, 1, 8, 0.5, {}},
        {"steady 85%", 0.85, 12, 1, 8, 0.5, {}},
        {"steady 70%, 35 upstreams", 0.70, 35, 1, 8, 0.5, {}},
        {"steady 85%, 35 upstreams, 64 dispatchers", 0.85, 35, 1, 64, 0.5, {}},
        {"straggler 10x", 0.70, 12, 1, 8, 0.5,
         at_fault([](run& model) { model.upstreams[0]->slowdown = 10.0; })},
        {"straggler 10x, 35 upstreams, 64 dispatchers", 0.70, 35, 1, 64, 0.5,
         at_fault([](run& model) { model.upstreams[0]->slowdown = 10.0; })},
        {"cold start of 3 of 12", 0.60, 12, 1, 8, 0.5, at_fault([](run& model) {
             model.remove_first_members(3);
             for (int i = 0; i < 3; ++i) {
                 model.add_upstream(0).cold_calls = 1000.0;
             }
             model.publish_members();
         })},
        {"fast failure", 0.60, 12, 1, 8, 0.5,
         at_fault([](run& model) { model.upstreams[0]->fails_fast = true; })},
        {"misleading reports of 3 of 12", 0.70, 12, 1, 8, 0.5,
         [](run& model) {
             for (std::size_t i = 0; i < 3; ++i) {
                 model.upstreams[i]->misleads = true;
             }
         }},
        {"noisy neighbours", 0.50, 12, 1, 8, 0.5,
         [](run& model) { make_noise(model, std::make_shared<random_generator>(5)); }},
        {"two data centres, even", 0.60, 12, 2, 8, 0.5, {}},
        {"two data centres, 80:20", 0.70, 12, 2, 8, 0.8, {}},
    };
}

double quantile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

void print_row(const scenario& played, const std::string& policy, bool hedging, int seeds)
{
    figures sum;
    double probes = 0.0;
    for (int seed = 1; seed <= seeds; ++seed) {
        run model{played, policy, hedging, static_cast<std::uint64_t>(seed)};
        figures one = model.play();
        sum.offered += one.offered;
        sum.good += one.good;
        sum.latencies.insert(sum.latencies.end(), one.latencies.begin(), one.latencies.end());
        probes += model.probes_per_s() / seeds;
    }
    std::sort(sum.latencies.begin(), sum.latencies.end());
    std::printf("| %s | %s%s | %.1f | %.1f | %.1f | %.2f%% | %.1f |\n", played.name.c_str(),
                policy.c_str(), hedging ? "" : ", no hedges", quantile(sum.latencies, 0.5),
                quantile(sum.latencies, 0.99), quantile(sum.latencies, 0.999),
                100.0 * static_cast<double>(sum.good) / static_cast<double>(sum.offered),
                probes / static_cast<double>(played.dispatchers));
    std::fflush(stdout);
}

} // namespace

/// Arguments: number of seeds (default 2), part of the names of the cases to run, policy to run.
int main(int argc, char** argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 2;
    const std::string wanted = argc > 2 ? argv[2] : "";
    const std::string only = argc > 3 ? argv[3] : "";
    std::printf("| case | policy | p50 ms | p99 ms | p99.9 ms | goodput | probes/s per node |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const scenario& played : all_scenarios()) {
        if (played.name.find(wanted) == std::string::npos) {
            continue;
        }
        std::vector<std::string> policies{"random",
                                          "round_robin",
                                          "least_outstanding",
                                          "two_choices_stale",
                                          "distance_as_latency",
                                          "two_choices"};
        for (const std::string& policy : policies) {
            if (only.empty() || policy == only) {
                print_row(played, policy, true, seeds);
            }
        }
        if (only.empty()) {
            print_row(played, std::string{default_policy}, false, seeds);
        }
    }
    return EXIT_SUCCESS;
}
