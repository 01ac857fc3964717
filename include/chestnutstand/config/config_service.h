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
    /// Random id of this process.
    std::uint64_t instance = 0;
    milliseconds log_retention{86'400'000};
    /// Time between two reads of the log while it is tailed.
    milliseconds poll_period{250};
    /// How long the author of a change waits for the verdict.
    milliseconds publish_wait{10'000};
    milliseconds fetch_timeout{1'000};
    /// A node without state leaves this much time for peers before it reads the log.
    milliseconds bootstrap_delay{500};
    /// Records after which a checkpoint is due.
    std::uint64_t checkpoint_records = 200;
    /// A node waits for a part of this time, different for each node, before it writes a checkpoint
    /// that is due, so that one node is first and the others see its checkpoint.
    milliseconds checkpoint_wait{30'000};
};

/// Verdict on a published change.
struct publish_verdict {
    bool accepted = false;
    /// Version of the document that the change made, or the current one when it was rejected.
    std::uint64_t version = 0;
    std::string explanation;
};

/// Keeps the configuration document up to date from the log and from peers. All methods are called
/// on the control thread except current(). The control loop must have stopped before it is
/// destroyed.
class config_service final : public configuration {
public:
    config_service(config_options options, control_loop& loop, log_client& log, peer_client& peers);
    ~config_service() override;

    void start() override;
    const snapshot<document>& current() const override { return current_; }

    std::uint64_t next_offset() const { return replay_.next_offset(); }

    /// Calls a listener whenever records have been applied.
    void on_advance(std::function<void(std::uint64_t next_offset)> listener) override;

    /// Whether this node reads the log all the time.
    void set_tailing(bool tailing) override { tailing_ = tailing; }
    std::size_t wanted_readers() const override;

    /// A peer has replayed up to next_offset; newer records are fetched from it.
    void hint(const node_reference& peer, std::uint64_t next_offset) override;

    /// Answers a peer that has replayed up to from_offset.
    fetched_changes handle_fetch(std::uint64_t from_offset) const override;

    using publish_done = std::function<void(absl::StatusOr<publish_verdict>)>;
    /// Appends a change to the log and waits for the verdict. An UnavailableError means that the
    /// change was not published; after a DeadlineExceededError it may still take effect, and
    /// publishing it again with the same change id is safe and tells the verdict.
    void publish(section_change change, publish_done done);

    config_state state() const { return replay_.state(); }

private:
    struct pending_publish {
        section_change change;
        /// Tells this wait from a later one with the same change id.
        std::uint64_t number = 0;
        /// Why the replay rejected the change.
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
    void finish_fetch(const peer_hint& asked, const absl::StatusOr<fetched_changes>& changes);

    void append_change(const std::string& change_id, const absl::Status& caught_up);
    void finish_append(const std::string& change_id, const absl::StatusOr<std::uint64_t>& offset);
    void expire_publish(const std::string& change_id, std::uint64_t number);
    void complete_publishes();
    void answer(const std::string& change_id, const absl::StatusOr<publish_verdict>& verdict);

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

    std::deque<change_record> records_;
    std::size_t record_bytes_ = 0;

    /// From different peers, oldest first, so that a peer that does not answer is not the only one.
    std::vector<peer_hint> hints_;
    bool fetching_ = false;

    std::unordered_map<std::string, pending_publish> publishes_;
    std::uint64_t next_publish_ = 0;
};

} // namespace chestnutstand
