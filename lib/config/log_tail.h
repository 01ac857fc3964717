#pragma once

#include "chestnutstand/config/change_replay.h"
#include "chestnutstand/config/log_client.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chestnutstand {

/// Reads the configuration stream to its end, one request at a time. When records that are needed
/// have expired, or a node without state would have to replay a long log, it starts from the newest
/// usable checkpoint.
class log_tail {
public:
    using caught_up = std::function<void(const absl::Status&)>;

    struct target {
        /// Applies records in the order of their offsets; skips those that were applied before.
        std::function<void(const std::vector<log_record>&)> apply;
        std::function<absl::Status(const wire::Checkpoint&)> adopt;
        std::function<std::uint64_t()> next_offset;
    };

    log_tail(control_loop& loop, log_client& log, target to);

    /// Calls back once all records that were in the log at the time of this call are applied, or
    /// reading failed.
    void catch_up(caught_up done);

    bool reading() const { return reading_; }

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
    target sink_;
    std::vector<caught_up> waiting_;
    std::vector<caught_up> active_;
    std::shared_ptr<checkpoint_search> search_;
    std::uint32_t limit_;
    bool reading_ = false;
    bool failing_ = false;
};

} // namespace chestnutstand
