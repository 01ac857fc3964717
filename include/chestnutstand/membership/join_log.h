#pragma once

#include "chestnutstand/config/log_client.h"
#include "chestnutstand/membership/member.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// Join records of the members stream, read from its tail on. Used on the control thread.
class join_log : public std::enable_shared_from_this<join_log> {
public:
    struct record {
        member node;
        time_point appended;
    };
    using done = std::function<void(absl::Status)>;

    join_log(control_loop& loop, log_client& log) : loop_{loop}, log_{log} {}

    /// Reads the records that are new since the last call; the first call reads the tail.
    void refresh(done finished);
    void append(const member& self, done finished);

    /// The latest record of each instance.
    const std::unordered_map<std::uint64_t, record>& records() const { return records_; }

    /// Forgets old records.
    void purge(time_point now, milliseconds retention);

private:
    void read_from(std::uint64_t offset, done finished);
    void store(const log_page& page);

    control_loop& loop_;
    log_client& log_;
    std::unordered_map<std::uint64_t, record> records_;
    std::uint64_t next_offset_ = 0;
    bool tail_known_ = false;
};

} // namespace chestnutstand
