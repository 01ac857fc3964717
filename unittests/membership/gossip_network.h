#pragma once

#include "chestnutstand/membership/swim.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace chestnutstand {

struct gossip_network_options {
    /// Share of datagrams that are lost.
    double loss = 0.0;
    milliseconds latency{0.5};
    milliseconds tick_period{50};
    swim_options protocol;
    std::uint64_t random_seed = 20261204;
};

/// Network of swim instances in virtual time; deterministic for a seed. Nodes are addressed by
/// slot, which stands for a VM: a restarted node gets a new instance id at the same address.
class gossip_network {
public:
    explicit gossip_network(const gossip_network_options& options);

    /// Starts a node that joins through a random running node, if there is one. Returns its slot.
    std::size_t add(const std::string& data_centre);
    /// Adds nodes alternately to the data centres and runs until all know each other.
    void add_cluster(std::size_t count, const std::vector<std::string>& data_centres);

    void kill(std::size_t slot) { slots_[slot].up = false; }
    /// Starts a new process at the address of a slot.
    void restart(std::size_t slot);
    /// Starts a process of another cluster at the address of a slot.
    void restart_in_cluster(std::size_t slot, std::uint64_t cluster);
    void pause(std::size_t slot) { slots_[slot].paused = true; }
    void resume(std::size_t slot);

    /// Decides which datagrams and exchanges from one slot to another are lost.
    void set_cut(std::function<bool(std::size_t from, std::size_t to)> cut);

    void run_for(milliseconds span);
    /// Runs until the condition holds, checked every step; the time it took, or the limit.
    milliseconds run_until(const std::function<bool()>& condition, milliseconds limit);

    swim& node(std::size_t slot) { return *slots_[slot].node; }
    std::uint64_t instance(std::size_t slot) const
    {
        return slots_[slot].node->self().node.instance;
    }
    std::size_t size() const { return slots_.size(); }
    bool is_running(std::size_t slot) const { return slots_[slot].up && !slots_[slot].paused; }
    bool has_resumed(std::size_t slot) const { return slots_[slot].resumed; }

    /// Whether the predicate holds for all running nodes, or those of one data centre.
    bool all_running(const std::function<bool(const swim&)>& predicate,
                     const std::string& data_centre = {}) const;
    /// Whether all running nodes know exactly the running nodes as live.
    bool is_converged() const;
    liveness state_at(std::size_t observer, std::uint64_t instance) const;

    std::uint64_t deaths_declared() const;
    std::uint64_t suspicions_raised() const;
    /// Bytes sent with UDP and IP headers, and bytes of push-pull exchanges, over all nodes.
    std::uint64_t datagram_bytes() const { return datagram_bytes_; }
    /// The part of them that was sent to another data centre.
    std::uint64_t remote_datagram_bytes() const { return remote_datagram_bytes_; }
    std::uint64_t sync_bytes() const { return sync_bytes_; }
    std::size_t largest_datagram() const { return largest_datagram_; }
    time_point now() const { return now_; }

private:
    struct slot_state {
        std::unique_ptr<swim> node;
        std::string data_centre;
        bool up = true;
        bool paused = false;
        bool resumed = false;
        std::vector<std::string> inbox;
    };
    struct event {
        time_point due;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void schedule(milliseconds delay, std::function<void()> run);
    void start(std::size_t slot);
    void tick(std::size_t slot, const swim* process);
    void deliver(std::size_t to, const std::string& payload);
    void flush(std::size_t slot);
    void send(std::size_t from, const datagram& out);
    void sync(std::size_t from, std::size_t to);
    bool is_cut(std::size_t from, std::size_t to) const { return cut_ && cut_(from, to); }
    bool can_exchange(std::size_t a, std::size_t b) const;
    std::vector<std::string> count_sync(std::vector<std::string> items);

    gossip_network_options options_;
    std::mt19937_64 random_;
    std::vector<slot_state> slots_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::function<bool(std::size_t, std::size_t)> cut_;
    std::uint64_t next_order_ = 0;
    std::uint64_t datagram_bytes_ = 0;
    std::uint64_t remote_datagram_bytes_ = 0;
    std::uint64_t sync_bytes_ = 0;
    std::size_t largest_datagram_ = 0;
    time_point now_;
};

} // namespace chestnutstand
