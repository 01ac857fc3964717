#pragma once

#include "chestnutstand/config/change_replay.h"
#include "chestnutstand/config/configuration.h"
#include "chestnutstand/config/log_client.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chestnutstand {

/// Reads the configuration stream up to its end, one request at a time. When needed records have
/// expired, or when a node without state would have to replay a long log, it starts from the newest
/// usable checkpoint. Used on the control thread.
class log_tail {
public:
    using catch_up_done = std::function<void(const absl::Status&)>;

    /// Receives the records that are read.
    struct sink {
        /// Applies records in the order of their offsets and skips those applied before.
        std::function<void(const std::vector<log_record>&)> apply;
        /// Replaces the state by that of a checkpoint.
        std::function<absl::Status(const wire::Checkpoint&)> adopt;
        std::function<std::uint64_t()> next_offset;
    };

    log_tail(control_loop& loop, log_client& log, sink receiver);

    /// Calls back once all records that were in the log at the time of this call are applied, or
    /// reading failed.
    void catch_up(catch_up_done done);

    bool is_reading() const { return reading_; }
    source_progress progress() const { return progress_; }

private:
    struct checkpoint_search;

    void start();
    void read_next();
    void on_page(const absl::StatusOr<log_page>& page);
    void begin_search(const log_page& page);
    void read_search();
    void on_search_page(const absl::StatusOr<log_page>& page);
    void end_search();
    void on_error(const absl::Status& status);
    void finish(const absl::Status& status);

    control_loop& loop_;
    log_client& log_;
    sink sink_;
    /// Callbacks that need another pass, because the log may have grown since the running one
    /// began.
    std::vector<catch_up_done> waiting_;
    /// Callbacks of the pass that is running.
    std::vector<catch_up_done> active_;
    /// Set from the start of a search to the end of the pass, unless a checkpoint is found before.
    std::shared_ptr<checkpoint_search> search_;
    /// Records per read; halved while responses are too large.
    std::uint32_t limit_;
    bool reading_ = false;
    bool failing_ = false;
    source_progress progress_;
};

} // namespace chestnutstand
