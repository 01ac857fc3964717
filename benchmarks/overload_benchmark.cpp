// Overload benchmark: a discrete-event simulation of one admission queue in front of one upstream,
// with seeded random arrivals and service times. Compares the admission queue with FIFO and strict
// priority queues. Prints a table and has no pass criterion.

#include "chestnutstand/admission/admission_queue.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace chestnutstand;

namespace {

constexpr std::uint32_t upstream_slots = 10;
constexpr milliseconds run_time{60'000};
constexpr milliseconds warm_up{5'000};
// The default timeout of a call in the product, as a multiple of its latency target.
constexpr double timeout_per_latency_target = 10.0;
constexpr std::size_t queue_limit = 200;

struct class_load {
    priority_config config;
    double service_ms = 1.0;
    /// Offered load as a share of the capacity while the class does not flood.
    double regular_load = 0.0;
};

/// Classes of the refund desk service, which share the slots of an upstream.
std::vector<class_load> refund_desk()
{
    return {{{"urgent", milliseconds{50}, 8.0, false}, 10.0, 0.2},
            {{"normal", milliseconds{250}, 3.0, false}, 40.0, 0.3},
            {{"batch", milliseconds{2000}, 1.0, false}, 200.0, 0.2}};
}

/// A queueing discipline under test.
class discipline {
public:
    discipline() = default;
    discipline(const discipline&) = delete;
    discipline& operator=(const discipline&) = delete;
    virtual ~discipline() = default;

    virtual offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline,
                               time_point now) = 0;
    virtual std::optional<queue_decision> next(time_point now) = 0;
    virtual void finish(std::uint64_t id, milliseconds latency, time_point now) = 0;
};

class product_queue final : public discipline {
public:
    explicit product_queue(const service_config& service) : queue_{service, upstream_slots} {}

    offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline,
                       time_point now) override
    {
        return queue_.offer(id, priority, deadline, now);
    }
    std::optional<queue_decision> next(time_point now) override { return queue_.next(now); }
    void finish(std::uint64_t id, milliseconds latency, time_point now) override
    {
        queue_.finish(id, {sample_kind::completed, latency}, now);
    }

private:
    admission_queue queue_;
};

/// Bounded queues, served in order of arrival (one queue) or of priority (one queue per class).
/// Expired requests are dropped when they reach the head of the queue.
class simple_queue final : public discipline {
public:
    simple_queue(std::size_t classes, bool by_priority)
        : queues_(by_priority ? classes : 1), limit_{queue_limit * classes / queues_.size()}
    {
    }

    offer_result offer(std::uint64_t id, std::size_t priority, time_point deadline,
                       time_point now) override
    {
        auto& queue = queues_[std::min(priority, queues_.size() - 1)];
        if (queue.size() >= limit_) {
            return {offer_state::refused, reason_code::queue_full};
        }
        queue.push_back({id, now, deadline, deadline});
        return {offer_state::queued, reason_code::none};
    }

    std::optional<queue_decision> next(time_point now) override
    {
        for (auto& queue : queues_) {
            if (queue.empty() || running_ >= upstream_slots) {
                continue;
            }
            const auto request = queue.front();
            queue.pop_front();
            const bool expired = request.deadline <= now;
            running_ += expired ? 0 : 1;
            return queue_decision{request.id,
                                  expired ? reason_code::queue_timeout : reason_code::none,
                                  now - request.arrived};
        }
        return std::nullopt;
    }

    void finish(std::uint64_t /*id*/, milliseconds /*latency*/, time_point /*now*/) override
    {
        --running_;
    }

private:
    std::vector<std::deque<queued_request>> queues_;
    std::size_t limit_;
    std::uint32_t running_ = 0;
};

struct class_result {
    std::uint64_t offered = 0;
    std::uint64_t in_target = 0;
    std::uint64_t late = 0;
    std::uint64_t expired_running = 0;
    std::uint64_t dispatched = 0;
    std::map<reason_code, std::uint64_t> refused;
    std::vector<double> refusal_delays_ms;
    double busy_ms = 0.0;
};

class simulation {
public:
    simulation(std::vector<class_load> classes, std::vector<double> loads, discipline& queue,
               unsigned seed)
        : classes_{std::move(classes)}, loads_{std::move(loads)}, queue_{queue},
          results_(classes_.size())
    {
        // One generator per class, used only for arrivals, gives all disciplines the same load.
        for (std::size_t i = 0; i < classes_.size(); ++i) {
            random_.emplace_back(seed + i);
        }
    }

    std::vector<class_result> run()
    {
        for (std::size_t i = 0; i < classes_.size(); ++i) {
            schedule_arrival(i);
        }
        while (!events_.empty()) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            if (next.is_arrival) {
                handle_arrival(next.id);
            }
            else {
                handle_departure(next.id);
            }
            apply_decisions();
        }
        return std::move(results_);
    }

private:
    struct event {
        time_point at;
        bool is_arrival;
        /// Class of an arrival, request of a departure.
        std::uint64_t id;
        bool operator>(const event& other) const { return at > other.at; }
    };
    struct request {
        std::size_t priority;
        time_point arrived;
        time_point deadline;
        double service_ms;
        time_point started;
    };

    double exponential(std::size_t priority, double mean)
    {
        return std::exponential_distribution{1.0 / mean}(random_[priority]);
    }

    void schedule_arrival(std::size_t priority)
    {
        const double interval_ms =
            classes_[priority].service_ms / (loads_[priority] * upstream_slots);
        const auto at = now_ + milliseconds{exponential(priority, interval_ms)};
        if (at < time_point{run_time}) {
            events_.push({at, true, priority});
        }
    }

    bool is_measured(const request& candidate) const
    {
        return candidate.arrived >= time_point{warm_up};
    }

    void handle_arrival(std::size_t priority)
    {
        schedule_arrival(priority);
        const auto id = ++last_id_;
        const auto timeout = classes_[priority].config.latency_target * timeout_per_latency_target;
        const double service_ms = exponential(priority, classes_[priority].service_ms);
        const request arriving{priority, now_, now_ + timeout, service_ms, {}};
        requests_[id] = arriving;
        results_[priority].offered += is_measured(arriving) ? 1 : 0;
        const auto offered = queue_.offer(id, priority, arriving.deadline, now_);
        if (offered.result == offer_state::refused) {
            refuse(id, offered.reason);
        }
        else if (offered.result == offer_state::admitted) {
            start(id);
        }
    }

    void refuse(std::uint64_t id, reason_code reason)
    {
        const auto refused = requests_.extract(id).mapped();
        if (is_measured(refused)) {
            auto& result = results_[refused.priority];
            ++result.refused[reason];
            result.refusal_delays_ms.push_back((now_ - refused.arrived).count());
        }
    }

    void start(std::uint64_t id)
    {
        auto& dispatched = requests_.at(id);
        dispatched.started = now_;
        events_.push({now_ + milliseconds{dispatched.service_ms}, false, id});
        if (now_ >= time_point{warm_up} && now_ < time_point{run_time}) {
            ++results_[dispatched.priority].dispatched;
            results_[dispatched.priority].busy_ms += dispatched.service_ms;
        }
    }

    void handle_departure(std::uint64_t id)
    {
        const auto departing = requests_.extract(id).mapped();
        queue_.finish(id, now_ - departing.started, now_);
        if (!is_measured(departing)) {
            return;
        }
        auto& result = results_[departing.priority];
        if (now_ > departing.deadline) {
            ++result.expired_running;
        }
        else if (now_ - departing.arrived > classes_[departing.priority].config.latency_target) {
            ++result.late;
        }
        else {
            ++result.in_target;
        }
    }

    void apply_decisions()
    {
        while (const auto decision = queue_.next(now_)) {
            if (decision->starts()) {
                start(decision->id);
            }
            else {
                refuse(decision->id, decision->refusal);
            }
        }
    }

    std::vector<class_load> classes_;
    std::vector<double> loads_;
    discipline& queue_;
    std::vector<std::mt19937_64> random_;
    std::vector<class_result> results_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::unordered_map<std::uint64_t, request> requests_;
    time_point now_{};
    std::uint64_t last_id_ = 0;
};

service_config make_service(const std::vector<class_load>& classes)
{
    service_config service;
    service.queue_limit_per_priority = queue_limit;
    for (const auto& load : classes) {
        service.priorities.push_back(load.config);
    }
    return service;
}

double percent(double part, double whole)
{
    return whole > 0.0 ? 100.0 * part / whole : 0.0;
}

double refusal_p99(class_result& result)
{
    auto& delays = result.refusal_delays_ms;
    if (delays.empty()) {
        return 0.0;
    }
    const auto at = delays.begin() + static_cast<std::ptrdiff_t>(delays.size() * 99 / 100);
    std::nth_element(delays.begin(), at, delays.end());
    return *at;
}

void print(const std::string& scenario, const char* discipline_name,
           const std::vector<class_load>& classes, std::vector<class_result> results)
{
    const auto service = make_service(classes);
    double dispatched = 0.0;
    double weights = 0.0;
    double busy_ms = 0.0;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        dispatched += static_cast<double>(results[i].dispatched);
        weights += classes[i].config.weight;
        busy_ms += results[i].busy_ms;
    }
    const double utilisation = percent(busy_ms, (run_time - warm_up).count() * upstream_slots);
    for (std::size_t i = 0; i < classes.size(); ++i) {
        auto& result = results[i];
        const auto offered = static_cast<double>(result.offered);
        std::printf(
            "| %s | %s | %s | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f "
            "| %.1f | %.1f |\n",
            scenario.c_str(), discipline_name, classes[i].config.name.c_str(),
            offered / (run_time - warm_up).count() * 1000.0,
            percent(static_cast<double>(result.in_target), offered),
            percent(static_cast<double>(result.late), offered),
            percent(static_cast<double>(result.expired_running), offered),
            percent(static_cast<double>(result.refused[reason_code::queue_full]), offered),
            percent(static_cast<double>(result.refused[reason_code::deadline_unmeetable]), offered),
            percent(static_cast<double>(result.refused[reason_code::queue_timeout]), offered),
            refusal_p99(result), percent(static_cast<double>(result.dispatched), dispatched),
            100.0 * service.reserve * classes[i].config.weight / weights, utilisation);
    }
}

void run_scenario(const std::string& name, std::size_t flooding_class, double flood_load,
                  unsigned seed)
{
    const auto classes = refund_desk();
    std::vector<double> loads;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        loads.push_back(i == flooding_class ? flood_load : classes[i].regular_load);
    }
    product_queue product{make_service(classes)};
    simple_queue fifo{classes.size(), false};
    simple_queue strict{classes.size(), true};
    print(name, "chestnutstand", classes, simulation{classes, loads, product, seed}.run());
    print(name, "fifo", classes, simulation{classes, loads, fifo, seed}.run());
    print(name, "strict", classes, simulation{classes, loads, strict, seed}.run());
}

} // namespace

int main(int argc, char** argv)
{
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
    std::printf("| flood | discipline | class | offered/s | in target %% | late %% | expired %% | "
                "queue_full %% | deadline_unmeetable %% | queue_timeout %% | refusal p99 ms | "
                "dispatches %% | guaranteed %% | slots busy %% |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    const auto classes = refund_desk();
    run_scenario("none", classes.size(), 0.0, seed);
    for (const std::size_t flooding_class : {classes.size() - 1, std::size_t{0}}) {
        for (const double flood_load : {5.0, 10.0, 20.0}) {
            run_scenario(classes[flooding_class].config.name + " " +
                             std::to_string(static_cast<int>(flood_load)) + "x",
                         flooding_class, flood_load, seed);
        }
    }
    return EXIT_SUCCESS;
}
