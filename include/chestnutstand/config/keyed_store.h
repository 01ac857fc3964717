#pragma once

#include "chestnutstand/support/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Topics of the external store.
enum class store_topic : std::uint8_t {
    document, ///< The whole document in one record; only the operator writes it.
    members,  ///< Addresses of the nodes, one record for each.
};

struct keyed_record {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Record of the operator that evacuates a data centre, or that revokes its evacuation.
struct evacuation_record {
    std::string data_centre;
    bool evacuated = false;
    std::uint64_t offset = 0;
};

struct keyed_page {
    std::vector<keyed_record> records;
    /// Offset that the next record of the topic will get.
    std::uint64_t next = 0;
    /// Records of the topic of the document that evacuate data centres.
    std::vector<evacuation_record> evacuations = {};
    /// Era of the store. It grows each time the store comes back from an older copy of itself;
    /// offsets of different eras are unrelated. 0 if the store does not name it.
    std::uint64_t era = 0;
};

/// Client of a store that keeps the newest record of each key indefinitely and older records for a
/// limited time. Callbacks run on any thread. A write that failed may still have taken effect.
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

    /// Reads the newest record of each key.
    virtual void newest(store_topic topic, read_done done) = 0;

    /// Long poll: reads the records from an offset on, as soon as there is one, or none after the
    /// wait. OutOfRangeError when the store no longer has all records from that offset on.
    virtual void follow(store_topic topic, std::uint64_t from, milliseconds wait,
                        read_done done) = 0;
};

} // namespace chestnutstand
