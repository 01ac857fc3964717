#pragma once

#include "../replay/event_loop.h"

#include "chestnutstand/config/document.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/tenancy/quota_service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chestnutstand {

/// Nodes with the real quota_service and quota_view_tracker in simulated time. Network and failure
/// detection are modelled: messages take up to 10 ms, a member that does not answer is suspected
/// after up to 1 s + N / (members of the observer's side) and dead 3 s later. A member that is back
/// is seen after up to 1 s; after a partition, up to 10 s pass before a dead one is tried again.
class quota_simulation {
public:
    quota_simulation(std::size_t nodes, const quota_limit& limit, std::uint64_t seed);

    event_loop& loop() { return loop_; }
    void run_for(milliseconds time) { loop_.run_until(loop_.now() + time); }

    /// Offers requests at random times, on average this many per second, to one node.
    void set_load(std::size_t node, double per_s);
    /// Changes the limit in the document; nodes apply it within 2 s.
    void set_limit(const quota_limit& limit);
    void crash(std::size_t node);
    /// Starts a new process at the address of the node.
    void restart(std::size_t node);
    void drain(std::size_t node);
    void pause(std::size_t node, milliseconds time);
    /// Puts the nodes into groups that cannot exchange messages.
    void partition(const std::vector<int>& groups);
    void heal() { partition(std::vector<int>(nodes_.size(), 0)); }
    /// Index of the node that has granted most tokens.
    std::size_t owner() const;

    /// Largest number of requests admitted in a window of 5 s that begins in the given time.
    std::size_t largest_window(time_point from, time_point to) const;

    std::vector<time_point> admitted;
    std::vector<time_point> refused;
    std::size_t waited = 0;
    std::size_t messages = 0;

private:
    struct belief {
        liveness state = liveness::alive;
        bool draining = false;
        time_point known_from;
        /// When the member was last reachable for the observer, or became reachable again.
        time_point changed;
        bool reachable = true;
        /// Whether a partition made it unreachable.
        bool cut_off = false;
        milliseconds detection{0};
        milliseconds recovery{0};
    };
    struct process {
        std::uint64_t instance = 0;
        bool running = true;
        bool draining = false;
        time_point drained_at;
        time_point paused_until;
        time_point heard;
        snapshot<document> in_force;
        metrics stats;
        std::unique_ptr<quota_view_tracker> tracker;
        std::unique_ptr<quota_service> quotas;
        std::map<std::uint64_t, belief> beliefs;
    };
    using process_ptr = std::shared_ptr<process>;

    process_ptr start_process(std::size_t node);
    void apply_document(const process_ptr& to) const;
    bool can_run(const process_ptr& target) const;
    bool connected(std::size_t from, std::size_t to) const;
    void ask(std::size_t from, const process_ptr& asker, const node_reference& target,
             const quota_request& request, milliseconds timeout, peer_client::quota_done done);
    void tick(std::size_t node, const process_ptr& self);
    void update_belief(std::size_t observer, belief& held, std::size_t about,
                       const process_ptr& process, bool reachable);
    void offer(std::size_t node, std::uint64_t load_version);
    milliseconds random_time(double max_ms);

    event_loop loop_;
    std::mt19937_64 random_;
    quota_limit limit_;
    std::uint64_t version_ = 1;
    std::uint64_t next_instance_ = 1;
    std::vector<process_ptr> nodes_;
    std::vector<int> groups_;
    milliseconds heal_delay_{0};
    std::vector<double> load_;
    std::vector<std::uint64_t> load_versions_;
    /// All processes, as callbacks may refer to one that has ended.
    std::vector<std::pair<std::size_t, process_ptr>> processes_;
};

} // namespace chestnutstand
