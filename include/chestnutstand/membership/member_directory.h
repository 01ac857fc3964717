#pragma once

#include "chestnutstand/membership/member.h"
#include "chestnutstand/support/clock.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace chestnutstand {

/// Records outside of the fleet that tell a new node how to reach others. Used on the control
/// thread, on which its callbacks run as well.
class member_directory {
public:
    struct record {
        member node;
        time_point appended;
    };
    using done = std::function<void(absl::Status)>;

    member_directory() = default;
    member_directory(const member_directory&) = delete;
    member_directory& operator=(const member_directory&) = delete;
    virtual ~member_directory() = default;

    /// Reads the records that are new since the last call.
    virtual void refresh(done finished) = 0;
    virtual void append(const member& self, done finished) = 0;

    /// The latest record of each instance.
    const std::unordered_map<std::uint64_t, record>& records() const { return records_; }

    /// Forgets old records.
    virtual void purge(time_point now, milliseconds retention) = 0;

    /// Fresh records per data centre with which a node need not add its own; nothing when every
    /// node adds one.
    virtual std::optional<std::size_t> sufficient_record_count() const = 0;

protected:
    std::unordered_map<std::uint64_t, record> records_;
};

} // namespace chestnutstand
