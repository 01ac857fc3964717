#pragma once

#include "deployment.h"
#include "fault_plan.h"
#include "records.h"

#include <atomic>
#include <functional>
#include <memory>
#include <queue>
#include <thread>
#include <vector>

namespace chestnutstand::soak {

/// Applies a plan of faults to a deployment and publishes config documents meanwhile.
class injector {
public:
    injector(deployment& cluster, run_record& record, time_point start);

    /// Runs the plan; returns after all faults have ended and all processes run again.
    void run(const std::vector<planned_fault>& plan, milliseconds length);

private:
    struct action {
        double due = 0;
        std::size_t order = 0;
        std::function<void()> run;
        bool operator>(const action& other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    /// Exit time of a process; 0 while it runs.
    using exit_time = std::shared_ptr<std::atomic<double>>;

    void schedule(double due, std::function<void()> run);
    void apply(const planned_fault& fault);
    /// Apply faults of one group and schedule their end.
    void apply_to_process(const planned_fault& fault);
    void apply_to_upstream(const planned_fault& fault);
    void apply_to_link(const planned_fault& fault);
    void apply_to_gossip(const planned_fault& fault);
    void pause_store(const planned_fault& fault);
    void stop_node(std::size_t index, double restart_after);
    void poll_stop(std::size_t index, std::size_t record_index, const exit_time& exited_at,
                   double restart_after);
    void publish();
    /// Records a fault that begins now; callers may get no response until `cut_off_until`.
    void record_disturbance(std::size_t node, double until, double cut_off_until);
    double elapsed() const { return (ms_clock::now() - start_).count(); }

    deployment& cluster_;
    run_record& record_;
    time_point start_;
    std::priority_queue<action, std::vector<action>, std::greater<>> actions_;
    std::size_t next_order_ = 0;
    /// Nodes, upstreams and the store whose process is being paused, killed or stopped.
    std::vector<bool> node_busy_;
    std::vector<bool> upstream_busy_;
    bool store_busy_ = false;
    /// Each waits for the exit of a process that got SIGTERM.
    std::vector<std::thread> exit_waiters_;
    std::uint64_t version_ = 0;
};

} // namespace chestnutstand::soak
