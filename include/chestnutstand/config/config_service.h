#pragma once

#include "chestnutstand/config/change_replay.h"
#include "chestnutstand/config/configuration.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/config/log_client.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/peer_client.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

class checkpoint_writer;
class log_tail;

/// Name of the log stream with changes and checkpoints.
inline constexpr const char* config_stream = "config";

struct config_options {
    /// Random id of this process; spreads the checkpoint delays of the nodes.
    std::uint64_t instance = 0;
    milliseconds log_retention{86'400'000};
    /// Time between two polls of the log while this node tails it.
    milliseconds poll_period{250};
    /// Time limit for the verdict on a published change.
    milliseconds publish_wait{10'000};
    /// Time limit of one fetch from a peer.
    milliseconds fetch_timeout{1'000};
    /// Time after the start during which a node without state waits for peers before it reads the
    /// log.
    milliseconds bootstrap_delay{500};
    /// Records since the last confirmed checkpoint after which the next one is due.
    std::uint64_t checkpoint_records = 200;
    /// Upper limit of the delay before a node writes a checkpoint that is due. Each node derives
    /// its own delay from its instance id, so that usually one node writes and the others read its
    /// checkpoint before their delay ends.
    milliseconds checkpoint_wait{30'000};
};

/// Verdict on a published change.
struct publish_verdict {
    bool accepted = false;
    /// Version of the document with the change, or the current one when the change was rejected.
    std::uint64_t version = 0;
    std::string explanation;
};

/// Keeps the configuration document up to date from the log and from peers. All methods except
/// current() are called on the control thread. Destroy it only after the control loop has stopped.
class config_service final : public configuration {
public:
    config_service(config_options options, control_loop& loop, log_client& log, peer_client& peers);
    ~config_service() override;

    void start() override;
    const snapshot<document>& current() const override { return current_; }

    std::uint64_t next_offset() const { return replay_.next_offset(); }

    /// Adds a listener that is called whenever records have been applied.
    void on_advance(std::function<void(std::uint64_t next_offset)> listener) override;

    /// Lead and standby poll the log alike; a lost response is noticed by its timeout.
    void set_reader_role(reader_role role) override { tailing_ = role != reader_role::none; }
    std::size_t wanted_readers() const override;
    source_progress progress() const override;

    /// Reports that a peer has replayed all records before next_offset; those that are missing here
    /// are fetched from it.
    void hint(const node_reference& peer, std::uint64_t next_offset) override;

    /// Response to a peer that has replayed all records before from_offset: the records from there
    /// on, or a checkpoint when they are no longer kept.
    fetched_changes handle_fetch(const fetch_request& request) const override;

    using publish_done = std::function<void(absl::StatusOr<publish_verdict>)>;
    /// Appends a change to the log and reports the verdict. UnavailableError: the change was not
    /// published. DeadlineExceededError: the change may still take effect; publishing it again with
    /// the same change id is safe and returns the verdict.
    void publish(section_change change, publish_done done);

    config_state state() const { return replay_.state(); }

private:
    struct pending_publish {
        section_change change;
        /// Distinguishes this entry from a later one with the same change id.
        std::uint64_t number = 0;
        /// Reason for which the replay rejected the change; empty unless rejected.
        std::string explanation;
        std::vector<publish_done> done;
    };
    struct peer_hint {
        node_reference peer;
        std::uint64_t next_offset = 0;
    };

    void poll();
    bool needs_log_read();

    void apply_page(const std::vector<log_record>& records);
    void apply_fetched(const fetched_changes& changes);
    void apply_record(std::uint64_t offset, const std::string& payload);
    void keep_record(std::uint64_t offset, const std::string& payload);
    void announce();

    void remove_hint(const node_reference& peer);
    void fetch();
    void finish_fetch(const peer_hint& used_hint, const absl::StatusOr<fetched_changes>& changes);

    void append_change(const std::string& change_id, const absl::Status& caught_up);
    void finish_append(const std::string& change_id, const absl::StatusOr<std::uint64_t>& offset);
    void expire_publish(const std::string& change_id, std::uint64_t number);
    void complete_publishes();
    void complete_publish(const std::string& change_id,
                          const absl::StatusOr<publish_verdict>& verdict);

    config_options options_;
    control_loop& loop_;
    log_client& log_;
    peer_client& peers_;
    change_replay replay_;
    snapshot<document> current_;
    std::vector<std::function<void(std::uint64_t)>> listeners_;
    std::unique_ptr<log_tail> tail_;
    std::unique_ptr<checkpoint_writer> checkpoints_;
    bool tailing_ = false;
    time_point next_bootstrap_read_;
    std::uint64_t announced_offset_ = 0;

    /// Last applied records, consecutive, kept for peers that are a little behind.
    std::deque<change_record> records_;
    std::size_t record_bytes_ = 0;

    /// Oldest first, at most one of each peer; several, because a peer may not respond.
    std::vector<peer_hint> hints_;
    bool fetching_ = false;

    std::unordered_map<std::string, pending_publish> publishes_;
    std::uint64_t next_publish_ = 0;
};

} // namespace chestnutstand
