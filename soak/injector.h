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

/// Applies a plan of faults to a deployment and publishes documents meanwhile.
class injector {
public:
    injector(deployment& all, run_record& record, time_point start);

    /// Runs the plan, then heals everything that is left and starts what has ended.
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

    /// When a process has ended; 0 while it runs.
    using end_time = std::shared_ptr<std::atomic<double>>;

    void at(double due, std::function<void()> run);
    void apply(const planned_fault& fault);
    /// Each applies one kind and plans its end.
    void apply_to_process(const planned_fault& fault);
    void apply_to_upstream(const planned_fault& fault);
    void apply_to_link(const planned_fault& fault);
    void apply_to_gossip(const planned_fault& fault);
    void pause_store(const planned_fault& fault);
    void stop_node(std::size_t index, double restart_after);
    void poll_stop(std::size_t index, std::size_t record, const end_time& ended,
                   double restart_after);
    void publish();
    /// Callers may be cut off until the second time.
    void disturb(std::size_t node, double until, double cut_off_until);
    double elapsed() const { return (ms_clock::now() - start_).count(); }

    deployment& all_;
    run_record& record_;
    time_point start_;
    std::priority_queue<action, std::vector<action>, std::greater<>> actions_;
    std::size_t next_order_ = 0;
    /// Nodes, upstreams and the store whose process is being paused, killed or stopped.
    std::vector<bool> node_busy_;
    std::vector<bool> upstream_busy_;
    bool store_busy_ = false;
    /// Each waits for the end of a process that is to stop.
    std::vector<std::thread> waiters_;
    std::uint64_t version_ = 0;
};

} // namespace chestnutstand::soak
