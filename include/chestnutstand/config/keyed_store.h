#pragma once

#include "chestnutstand/support/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chestnutstand {

/// What the nodes keep in a store outside of them.
enum class store_topic : std::uint8_t {
    document, ///< The operator's document in a single record; written by the operator only.
    members,  ///< How to reach each node.
};

struct keyed_record {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

struct keyed_page {
    std::vector<keyed_record> records;
    /// Offset that the next record of the topic will get.
    std::uint64_t next = 0;
};

/// Store that keeps the newest record of each key, and the others for a while. Callbacks run on any
/// thread. A write that failed may still have taken effect.
class keyed_store {
public:
    using write_done = std::function<void(absl::Status)>;
    using read_done = std::function<void(absl::StatusOr<keyed_page>)>;

    keyed_store() = default;
    keyed_store(const keyed_store&) = delete;
    keyed_store& operator=(const keyed_store&) = delete;
    virtual ~keyed_store() = default;

    virtual void put(store_topic topic, const std::string& key, std::string value,
                     write_done done) = 0;

    /// The newest record of each key.
    virtual void newest(store_topic topic, read_done done) = 0;

    /// Records from an offset on, as soon as there is one or after the wait. OutOfRange when the
    /// store has dropped the records in between.
    virtual void follow(store_topic topic, std::uint64_t from, milliseconds wait,
                        read_done done) = 0;
};

} // namespace chestnutstand
