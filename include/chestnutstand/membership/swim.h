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
    /// Identifier of the cluster. Messages of other clusters are dropped; they arrive when the
    /// address of a former member is reused.
    std::uint64_t cluster = 0;
    milliseconds probe_period{1'000};
    /// Fraction by which the period varies at random, so that nodes do not probe in lockstep.
    double probe_jitter = 0.1;
    /// Time without an ack after which other members are asked to ping the target.
    milliseconds direct_timeout{300};
    /// Time after which a suspect that has not refuted the suspicion is declared dead.
    milliseconds suspicion_timeout{3'000};
    /// Time after which a suspect that has not refuted the suspicion gets no calls.
    milliseconds unroutable_after{1'500};
    milliseconds dead_retention{3'600'000};
    /// Interval between pings to a random dead member, which detect the end of a partition.
    milliseconds dead_retry_interval{10'000};
    /// Time without a change after which the table is compared with those of peers. It far
    /// exceeds the time in which an update reaches 7,400 members.
    milliseconds digest_stable_after{10'000};
    /// Interval between pings that verify a claim about a member with the member itself.
    milliseconds verify_interval{200};
    /// Minimum interval between push-pull exchanges that this node starts.
    milliseconds sync_interval{5'000};
    /// Limit on the average bytes per second of the push-pull exchanges that this node starts.
    double sync_bytes_per_s = 1'000;
    std::size_t indirect_probes = 3;
    /// Number of random members that one push is sent to.
    std::size_t push_fan_out = 4;
    /// Bytes per second for pushes; updates beyond this budget are sent with the next probes.
    double push_bytes_per_s = 1'500;
    double push_burst_bytes = 6'000;
    /// Part of the push budget reserved for urgent updates, for when many members join.
    double urgent_push_reserve_bytes = 3'000;
    /// Maximum payload of a datagram in bytes.
    std::size_t packet_limit = 1'200;
    /// Each update is sent this factor times the natural logarithm of the member count.
    double retransmit_factor = 3.0;
    /// While more updates than this are queued, as after a start of many members, each one that is
    /// not urgent is sent only remote_transmissions times to other data centres: their members
    /// disseminate it among themselves, and traffic between data centres is the most expensive.
    std::size_t update_backlog_threshold = 16;
    std::size_t remote_transmissions = 3;
};

/// Datagram to send.
struct datagram {
    std::string address;
    std::uint16_t port = 0;
    std::string payload;
};

/// Reports a peer that has replayed more configuration records than this node.
struct config_hint {
    node_reference peer;
    std::uint64_t next_offset = 0;
};

/// Reports a peer that has another state of the evacuated data centres than this node.
struct evacuation_hint {
    node_reference peer;
    std::uint64_t digest = 0;
};

/// Actions and events for the owner of the state machine.
struct swim_output {
    std::vector<datagram> datagrams;
    /// Peers to start a push-pull exchange with.
    std::vector<node_reference> sync_peers;
    std::vector<config_hint> config_hints;
    std::vector<evacuation_hint> evacuation_hints;
    /// Senders of other clusters whose messages were dropped.
    std::vector<node_reference> foreign_senders;
    bool members_changed = false;
    /// The process was paused for longer than the suspicion timeout.
    bool resumed = false;
};

/// Event counts of one node since its start.
struct swim_counters {
    /// Suspicions that resulted from probes of this node.
    std::uint64_t suspicions_raised = 0;
    /// Members whose suspicion timed out at this node.
    std::uint64_t deaths_declared = 0;
    /// Claims that this node is suspect or dead which it refuted.
    std::uint64_t refutations = 0;
};

/// SWIM protocol state machine of one member: failure detection by probes, dissemination by
/// piggybacked updates. It does no I/O and reads no clock: callers pass the time and collect the
/// output with take_output(). Not thread-safe.
class swim {
public:
    swim(member self, const swim_options& options, std::uint64_t random_seed, time_point now);

    void on_message(std::string_view payload, time_point now);
    /// Must be called several times per direct timeout. A longer gap between calls is treated as a
    /// pause of this process.
    void on_tick(time_point now);

    /// Pings an address at which no member is known yet.
    void contact(const std::string& address, std::uint16_t port);

    /// Returns the first message of a push-pull exchange.
    std::vector<std::string> sync_request() const;
    /// Handles the first or second message of a peer's exchange and returns the reply.
    std::vector<std::string> handle_sync(const std::vector<std::string>& items, time_point now);
    /// Handles the reply of the peer. A non-empty result is the second message of the exchange, to
    /// be sent to the same peer.
    std::vector<std::string> finish_sync(const std::vector<std::string>& reply, time_point now);

    void set_upstream(const std::string& service, std::uint32_t slots);
    void set_draining();
    void leave();
    void set_config_next_offset(std::uint64_t next);

    /// Sets the digest of the state of the evacuated data centres, and sends it to some members.
    void set_evacuation_digest(std::uint64_t digest);

    swim_output take_output() { return std::exchange(output_, {}); }

    const member& self() const { return self_; }
    const swim_counters& counters() const { return counters_; }
    /// Time of the last message of another member, or of the start if there was none.
    time_point last_heard() const { return last_heard_; }
    /// Number of updates that are still being disseminated.
    std::size_t queued_updates() const { return queue_.size(); }
    const member_table& table() const { return table_; }
    /// All known members, starting with this node.
    std::vector<member> members() const;
    /// Whether calls may be sent to the member.
    bool is_routable(const member& candidate) const;

private:
    /// How a member state was received. States of a bulk_sync are not passed on by gossip.
    enum class claim_source : std::uint8_t { direct, gossip, sync, bulk_sync };

    struct probe {
        std::uint64_t target = 0;
        std::uint64_t sequence = 0;
        time_point direct_deadline;
        time_point deadline;
        bool indirect = false;
    };
    /// Ping sent on behalf of another member that could not reach the target.
    struct relay {
        std::uint64_t target = 0;
        /// Address and sequence number of the requester.
        std::string address;
        std::uint16_t port = 0;
        std::uint64_t sequence = 0;
        time_point deadline;
    };
    struct suspicion {
        time_point started;
        time_point deadline;
        bool routable = true;
        /// Whether a probe of this node raised the suspicion; the member is then probed in each
        /// period.
        bool from_own_probe = false;
    };

    // Merging of states.
    /// Accepts, ignores or verifies a received state.
    void apply(const member& incoming, claim_source source, time_point now);
    void apply_to_self(const member& incoming);
    /// Stores a state that supersedes the known one and queues it for dissemination.
    void accept(const member& incoming, claim_source source, time_point now);
    /// Changes the liveness of a member to a later value.
    void declare(std::uint64_t instance, liveness state, time_point now);
    /// Declares the other members at the gossip address of the sender dead: a new process has
    /// replaced them.
    void declare_replaced_members_dead(const member& sender, time_point now);
    void announce_self(bool urgent);
    void queue_update(std::uint64_t instance, bool urgent);
    /// Schedules a ping to the member that lets it refute the claim.
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
    /// Members of the same data centre, because a receiver fetches the announced records from the
    /// sender, and one random member, for data centres in which no node reads the source.
    std::vector<const member*> hint_targets();
    void send_hints();
    std::size_t transmit_limit() const;

    // Timers.
    /// After a pause of this process, moves the deadlines by its length: a node that did not run
    /// has learned nothing about other members.
    void detect_pause(time_point now);
    void shift_deadlines(milliseconds gap);
    void start_probe_period(time_point now);
    void start_probe(std::uint64_t target, time_point now);
    std::uint64_t next_probe_target();
    void advance_probes(time_point now);
    void request_indirect_probes(probe& pending);
    void expire_suspicions(time_point now);
    void retry_dead(time_point now);
    void verify_next(time_point now);
    void push_updates(time_point now);

    // Digests.
    std::uint64_t digest() const { return table_.digest() ^ member_table::digest_of(self_); }
    /// Digest of the table, or 0 while the table has changed recently.
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
    /// Claims to be verified with the member concerned, and their instances.
    std::unordered_map<std::uint64_t, member> unverified_claims_;
    std::vector<std::uint64_t> verify_order_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t config_next_offset_ = 0;
    std::uint64_t evacuation_digest_ = 0;
    /// Time of the last tick or message; detects pauses of this process.
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
