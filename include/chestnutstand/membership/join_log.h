#pragma once

#include "chestnutstand/config/log_client.h"
#include "chestnutstand/membership/member_directory.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// Join records of the members stream, read from its tail on. Used on the control thread.
class join_log final : public member_directory, public std::enable_shared_from_this<join_log> {
public:
    join_log(control_loop& loop, log_client& log) : loop_{loop}, log_{log} {}

    /// The first call reads the tail of the stream.
    void refresh(done finished) override;
    void append(const member& self, done finished) override;
    void purge(time_point now, milliseconds retention) override;
    std::optional<std::size_t> sufficient_record_count() const override;

private:
    void read_from(std::uint64_t offset, done finished);
    void store(const log_page& page);

    control_loop& loop_;
    log_client& log_;
    std::uint64_t next_offset_ = 0;
    bool tail_known_ = false;
};

} // namespace chestnutstand
