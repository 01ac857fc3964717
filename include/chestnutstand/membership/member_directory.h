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

/// Directory of node addresses, stored outside the cluster, that a new node uses to find members.
/// Methods are called on the control thread, and callbacks run there.
class member_directory {
public:
    struct record {
        member node;
        /// When the record was written, or when it was read if the store does not tell.
        time_point appended;
    };
    using done = std::function<void(absl::Status)>;

    member_directory() = default;
    member_directory(const member_directory&) = delete;
    member_directory& operator=(const member_directory&) = delete;
    virtual ~member_directory() = default;

    /// Reads the records that were added since the last call.
    virtual void refresh(done finished) = 0;
    /// Writes a record of this node.
    virtual void append(const member& self, done finished) = 0;

    /// The latest record of each instance.
    const std::unordered_map<std::uint64_t, record>& records() const { return records_; }

    /// Drops records older than the retention from memory, unless the store bounds their number.
    virtual void purge(time_point now, milliseconds retention) = 0;

    /// Number of recent records of a data centre at which further nodes there add none; nothing
    /// when every node adds its own.
    virtual std::optional<std::size_t> sufficient_record_count() const = 0;

protected:
    std::unordered_map<std::uint64_t, record> records_;
};

} // namespace chestnutstand
