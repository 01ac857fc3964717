#pragma once

#include "log_tail.h"

#include "chestnutstand/config/config_service.h"

#include <cstdint>
#include <optional>

namespace chestnutstand {

/// Appends a checkpoint to the log when one is due and no other node has done so first.
class checkpoint_writer {
public:
    checkpoint_writer(const config_options& options, control_loop& loop, log_client& log,
                      const change_replay& replay, log_tail& tail);

    /// Called now and then while this node tails the log.
    void tick(time_point now);

private:
    bool is_due() const;
    milliseconds wait() const;
    void check_age(time_point now);
    void finish_age_check(std::uint64_t offset, const absl::StatusOr<log_page>& page);
    void write(std::uint64_t due_offset, const absl::Status& caught_up);

    const config_options& options_;
    control_loop& loop_;
    log_client& log_;
    const change_replay& replay_;
    log_tail& tail_;
    /// Oldest needed record that was found to be old.
    std::optional<std::uint64_t> aged_offset_;
    std::optional<time_point> write_at_;
    std::optional<time_point> next_age_check_;
    bool busy_ = false;
};

} // namespace chestnutstand
