#pragma once

#include "chestnutstand/support/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chestnutstand {

struct log_record {
    std::uint64_t offset = 0;
    /// Time since the record was appended.
    milliseconds age{0};
    std::string payload;
};

struct log_page {
    /// Oldest offset that is still retained.
    std::uint64_t first = 0;
    /// Offset that the next append will get.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

/// Client of the platform's append-only log service. Callbacks run on any thread. An append that
/// failed may still have taken effect.
class log_client {
public:
    using append_done = std::function<void(absl::StatusOr<std::uint64_t>)>;
    using read_done = std::function<void(absl::StatusOr<log_page>)>;

    log_client() = default;
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;
    virtual ~log_client() = default;

    virtual void append(const std::string& stream, std::string payload, append_done done) = 0;
    virtual void read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
                      read_done done) = 0;
};

} // namespace chestnutstand
