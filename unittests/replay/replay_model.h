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

/// What became of the requests of one kind.
struct kind_result {
    std::uint64_t offered = 0;
    std::uint64_t in_target = 0;
    std::uint64_t late = 0;
    std::uint64_t refused_at_once = 0;
    std::uint64_t refused_after_waiting = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
    /// Time that requests without an answer of an upstream were held.
    double wasted_wait_ms = 0.0;
};

struct replay_settings {
    std::size_t upstreams = 8;
    std::size_t data_centres = 2;
    std::size_t dispatchers = 4;
    std::vector<kind> kinds;
    /// How often a refused caller comes back.
    int returns = 2;
    /// Share of the callers that leave at half of their target.
    double leaving_share = 0.0;
    /// Callers repeat a refused request at once instead of when they are asked to.
    bool repeat_at_once = false;
};

class model;

/// A load pattern: changes a running model.
struct pattern {
    std::string name;
    std::function<void(model&)> prepare;
};

/// Dispatchers and admission queues of the product in front of modelled upstreams, in simulated
/// time; the same for a seed.
class model {
public:
    model(replay_settings described, const policies& chosen, std::uint64_t seed);

    /// Plays 4 s of warm-up and 10 s that count; patterns act from the start of the latter.
    std::vector<kind_result> play(const pattern& load);

    replay_member& member(std::size_t index) { return *members_[index]; }
    std::size_t size() const { return members_.size(); }
    /// Runs after a time of the part that counts.
    void at(milliseconds time, std::function<void()> work);
    void after(milliseconds delay, std::function<void()> work)
    {
        loop_.after(delay, std::move(work));
    }
    /// Multiplies the load of one kind.
    void set_burst(std::size_t kind, double factor) { bursts_[kind] = factor; }
    /// Members from then on; a new member joins cold.
    void remove_member(std::size_t index);
    void add_cold_member(double factor, milliseconds warm_after);
    std::mt19937_64& random() { return random_; }

    static constexpr milliseconds warm_up{4'000};
    static constexpr milliseconds measured{10'000};

private:
    struct caller;
    using caller_ptr = std::shared_ptr<caller>;

    replay_member& add_member(std::size_t data_centre);
    void publish_document();
    void publish_members();
    void add_dispatcher(std::size_t data_centre);
    void schedule_arrival(std::size_t kind);
    void arrive(std::size_t kind);
    void send(const caller_ptr& who);
    void finish(const caller_ptr& who, const call_result& result);
    void leave(const caller_ptr& who);
    bool counts() const { return loop_.now() >= start_ + warm_up && !ended_; }

    event_loop loop_;
    replay_settings world_;
    policies policies_;
    std::mt19937_64 random_;
    std::vector<std::mt19937_64> arrivals_;
    std::vector<double> bursts_;
    service_config service_;
    snapshot<routing_table> routes_;
    snapshot<document> configuration_;
    metrics counters_;
    std::vector<std::unique_ptr<replay_member>> members_;
    std::vector<std::size_t> routed_;
    std::vector<std::unique_ptr<model_network>> networks_;
    std::vector<std::unique_ptr<dispatcher>> dispatchers_;
    std::vector<kind_result> results_;
    time_point start_;
    bool ended_ = false;
};

/// Refund desk: an urgent, a normal and a batch kind on the same upstreams.
replay_settings refund_desk();

/// The load patterns by name, the calm one first.
const std::vector<pattern>& patterns();
const pattern& find_pattern(const std::string& name);

/// Sums over the kinds and over the seeds 1 to count.
kind_result total(const replay_settings& described, const policies& chosen, const pattern& load,
                  std::uint64_t seeds);

} // namespace chestnutstand::replay
