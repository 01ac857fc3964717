#pragma once

#include "replay_member.h"

#include "chestnutstand/node/dispatcher.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand::replay {

/// One kind of request.
struct kind {
    std::string name;
    milliseconds target{100};
    double weight = 1.0;
    milliseconds mean_work{20};
    /// Share of the capacity of all upstreams that it offers.
    double load = 0.2;
};

/// Number of requests of one kind by result.
struct kind_result {
    std::uint64_t offered = 0;
    std::uint64_t in_target = 0;
    std::uint64_t late = 0;
    std::uint64_t refused_at_once = 0;
    std::uint64_t refused_after_waiting = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
    /// Total time that requests waited that ended without a successful response.
    double wasted_wait_ms = 0.0;
};

struct replay_settings {
    std::size_t upstreams = 8;
    std::size_t data_centres = 2;
    std::size_t dispatchers = 4;
    std::vector<kind> kinds;
    /// How often a caller retries a refused request.
    int max_caller_retries = 2;
    /// Share of the callers that leave after half of their latency target.
    double leaving_share = 0.0;
    /// Callers retry a refused request after 1 ms instead of the requested delay.
    bool retry_at_once = false;
};

class model;

/// A load pattern: schedules changes of a model while it runs.
struct pattern {
    std::string name;
    std::function<void(model&)> prepare;
};

/// Dispatchers and admission queues of the product in front of modelled upstreams, in simulated
/// time. The seed determines the results.
class model {
public:
    model(replay_settings settings, const policy_options& options, std::uint64_t seed);

    /// Simulates 4 s of warm-up and 10 s of measurement. Times of the pattern are relative to the
    /// start of the measurement.
    std::vector<kind_result> play(const pattern& load);

    replay_member& member(std::size_t index) { return *members_[index]; }
    std::size_t size() const { return members_.size(); }
    /// Runs the work at a time relative to the start of the measurement.
    void at(milliseconds time, std::function<void()> work);
    void after(milliseconds delay, std::function<void()> work)
    {
        loop_.after(delay, std::move(work));
    }
    /// Sets the factor on the load of one kind.
    void set_load_factor(std::size_t kind, double factor) { load_factors_[kind] = factor; }
    /// Removes a member from the routing table.
    void remove_member(std::size_t index);
    /// Adds a member whose work takes longer by the factor until it has warmed up.
    void add_cold_member(double factor, milliseconds warm_after);
    std::mt19937_64& random() { return random_; }

    static constexpr milliseconds warm_up{4'000};
    static constexpr milliseconds measured{10'000};

private:
    struct request_state;
    using request_ptr = std::shared_ptr<request_state>;

    replay_member& add_member(std::size_t data_centre);
    void publish_document();
    void publish_members();
    void add_dispatcher(std::size_t data_centre);
    void schedule_arrival(std::size_t kind);
    void arrive(std::size_t kind);
    void send(const request_ptr& request);
    void finish(const request_ptr& request, const call_result& result);
    void leave(const request_ptr& request);
    bool is_measuring() const { return loop_.now() >= start_ + warm_up && !ended_; }

    event_loop loop_;
    replay_settings settings_;
    policy_options options_;
    std::mt19937_64 random_;
    std::vector<std::mt19937_64> arrival_random_;
    std::vector<double> load_factors_;
    service_config service_;
    snapshot<routing_table> routes_;
    snapshot<document> configuration_;
    metrics counters_;
    std::vector<std::unique_ptr<replay_member>> members_;
    std::vector<std::size_t> routed_indexes_;
    std::vector<std::unique_ptr<model_network>> networks_;
    std::vector<std::unique_ptr<dispatcher>> dispatchers_;
    std::vector<kind_result> results_;
    time_point start_;
    bool ended_ = false;
};

/// Settings of a refund desk with urgent, normal and batch requests on the same upstreams.
replay_settings refund_desk();

/// All load patterns; the first one changes nothing.
const std::vector<pattern>& patterns();
const pattern& find_pattern(const std::string& name);

/// Sum of the results over all kinds and over the seeds from 1 to the given number.
kind_result total(const replay_settings& settings, const policy_options& options,
                  const pattern& load, std::uint64_t seeds);

} // namespace chestnutstand::replay
