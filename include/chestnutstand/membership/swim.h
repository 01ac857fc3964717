#pragma once

#include "chestnutstand/membership/gossip_codec.h"
#include "chestnutstand/membership/member_table.h"
#include "chestnutstand/membership/update_queue.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {

struct swim_options {
    /// Identity of the cluster. Messages of other clusters are dropped: they come when the address
    /// of a member that has gone is used again.
    std::uint64_t cluster = 0;
    milliseconds probe_period{1'000};
    /// Share of the period by which it varies, so that nodes do not probe in step.
    double probe_jitter = 0.1;
    milliseconds direct_timeout{300};
    milliseconds suspicion{3'000};
    /// A suspect that has not refuted for this long gets no calls.
    milliseconds unroutable_after{1'500};
    milliseconds dead_retention{3'600'000};
    milliseconds dead_retry_interval{10'000};
    /// A table that has not changed for this long is compared with those of peers. Updates reach
    /// 7,400 members well within it.
    milliseconds digest_stable_after{10'000};
    /// Pause between checks of doubtful claims by a ping to the member concerned.
    milliseconds verify_interval{200};
    milliseconds sync_interval{5'000};
    /// Bytes per second that the push-pull exchanges started here may cost.
    double sync_bytes_per_s = 1'000;
    std::size_t indirect_probes = 3;
    std::size_t push_fan_out = 4;
    /// Bytes per second for pushes of news; more news than that waits for the next probes.
    double push_bytes_per_s = 1'500;
    double push_burst_bytes = 6'000;
    /// Kept back for urgent updates while many members join.
    double urgent_push_reserve_bytes = 3'000;
    std::size_t packet_limit = 1'200;
    /// An update is sent this many times the logarithm of the member count.
    double retransmit_factor = 3.0;
    /// While more updates than this wait to be passed on, as after a start of many members, each is
    /// sent only a few times to other data centres, unless it is urgent: their members pass it on
    /// among themselves, and bytes between data centres cost most.
    std::size_t update_backlog_threshold = 16;
    std::size_t remote_transmissions = 3;
};

/// Datagram to be sent.
struct datagram {
    std::string address;
    std::uint16_t port = 0;
    std::string payload;
};

/// A peer that has replayed more configuration records than this node.
struct config_hint {
    node_reference peer;
    std::uint64_t next_offset = 0;
};

/// What the owner of the state machine is to do.
struct swim_output {
    std::vector<datagram> datagrams;
    /// Peers to start a push-pull exchange with.
    std::vector<node_reference> sync_peers;
    std::vector<config_hint> config_hints;
    /// Senders in other clusters whose messages were dropped.
    std::vector<node_reference> foreign_senders;
    bool members_changed = false;
    /// The node was paused for longer than the suspicion time.
    bool resumed = false;
};

/// Decisions of one node since its start.
struct swim_counters {
    /// Members that this node's own probes found silent.
    std::uint64_t suspicions_raised = 0;
    /// Members whose suspicion ran out here.
    std::uint64_t deaths_declared = 0;
    /// Suspicions and deaths of this node that it refuted.
    std::uint64_t refutations = 0;
};

/// SWIM protocol state machine of one member: failure detection by probes, dissemination by
/// piggybacked updates. No I/O; inputs carry the time, outputs are collected until taken.
class swim {
public:
    swim(member self, const swim_options& options, std::uint64_t random_seed, time_point now);

    void on_message(std::string_view payload, time_point now);
    /// To be called often compared with the direct timeout; a late call counts as a pause.
    void on_tick(time_point now);

    /// Pings an address of which no member is known yet.
    void contact(const std::string& address, std::uint16_t port);

    /// First message of a push-pull exchange.
    std::vector<std::string> sync_request() const;
    /// Reply to the first or second message of a peer's exchange.
    std::vector<std::string> handle_sync(const std::vector<std::string>& items, time_point now);
    /// Takes the reply; a non-empty result is the second message of the exchange.
    std::vector<std::string> finish_sync(const std::vector<std::string>& reply, time_point now);

    void set_upstream(const std::string& service, std::uint32_t slots);
    void set_draining();
    void leave();
    void set_config_next_offset(std::uint64_t next);

    swim_output take_output() { return std::exchange(output_, {}); }

    const member& self() const { return self_; }
    const swim_counters& counters() const { return counters_; }
    /// When the last message of another member arrived; the start before the first one.
    time_point last_heard() const { return last_heard_; }
    /// Updates that are still being passed on.
    std::size_t queued_updates() const { return queue_.size(); }
    const member_table& table() const { return table_; }
    /// All members, this node first.
    std::vector<member> members() const;
    /// Whether calls may be sent to a member.
    bool is_routable(const member& candidate) const;

private:
    enum class claim_source : std::uint8_t { direct, gossip, sync, bulk_sync };

    struct probe {
        std::uint64_t target = 0;
        std::uint64_t sequence = 0;
        time_point direct_deadline;
        time_point deadline;
        bool indirect = false;
    };
    struct relay {
        std::uint64_t target = 0;
        std::string address;
        std::uint16_t port = 0;
        std::uint64_t sequence = 0;
        time_point deadline;
    };
    struct suspicion {
        time_point started;
        time_point deadline;
        bool routable = true;
        /// Whether this node's own probe raised it; then it keeps probing the member.
        bool own = false;
    };

    // Merging of states.
    void apply(const member& incoming, claim_source source, time_point now);
    void apply_to_self(const member& incoming);
    void adopt(const member& incoming, claim_source source, time_point now);
    void declare(std::uint64_t instance, liveness state, time_point now);
    void declare_replaced_members_dead(const member& sender, time_point now);
    void announce_self(bool urgent);
    void queue_update(std::uint64_t instance, bool urgent);
    void verify_later(const member& claim);

    // Messages.
    void on_ping(const gossip_message& message);
    void on_ack(const gossip_message& message, time_point now);
    void on_ping_request(const gossip_message& message, time_point now);
    void compare_digests(const gossip_message& message, time_point now);
    void send(gossip_message message, const std::string& address, std::uint16_t port,
              std::uint64_t to_instance);
    void add_updates(gossip_message& message, std::uint64_t to_instance);
    void ping(const member& target, std::uint64_t sequence);
    std::vector<const member*> hint_targets();
    std::size_t transmit_limit() const;

    // Timers.
    void detect_pause(time_point now);
    void shift_deadlines(milliseconds gap);
    void start_probe_period(time_point now);
    void start_probe(std::uint64_t target, time_point now);
    std::uint64_t next_probe_target();
    void advance_probes(time_point now);
    void request_indirect_probes(probe& running);
    void expire_suspicions(time_point now);
    void retry_dead(time_point now);
    void verify_next(time_point now);
    void push_updates(time_point now);

    // Digests.
    std::uint64_t digest() const { return table_.digest() ^ member_table::digest_of(self_); }
    std::uint64_t stable_digest() const;
    std::vector<std::uint64_t> bucket_digests(std::size_t count) const;
    void request_sync(const node_reference& peer, time_point now);

    member self_;
    swim_options options_;
    std::mt19937_64 random_;
    member_table table_;
    update_queue queue_;
    swim_output output_;
    swim_counters counters_;
    std::vector<probe> probes_;
    std::vector<std::uint64_t> probe_order_;
    std::size_t probe_index_ = 0;
    std::unordered_map<std::uint64_t, relay> relays_;
    std::unordered_map<std::uint64_t, suspicion> suspicions_;
    /// Doubtful claims that are still to be checked, and the order of the checks.
    std::unordered_map<std::uint64_t, member> verify_;
    std::vector<std::uint64_t> verify_order_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t config_next_offset_ = 0;
    time_point last_run_;
    time_point last_heard_;
    time_point table_changed_;
    time_point next_probe_;
    time_point next_dead_retry_;
    time_point next_verify_;
    time_point next_sync_;
    time_point next_purge_;
    time_point push_refilled_;
    double push_budget_bytes_;
    bool push_due_ = false;
    bool urgent_push_due_ = false;
};

} // namespace chestnutstand
