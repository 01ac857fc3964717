#pragma once

#include "chestnutstand/support/reason.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand::history {

/// A call as observed by its caller. Times are milliseconds on a clock that all processes of the
/// machine share.
struct call_record {
    std::string id;
    /// Empty for a call without a key.
    std::string key;
    /// Unique per request; repeated calls with the same key and request have the same payload.
    /// Empty for a query of a key.
    std::string payload;
    double start = 0;
    double end = 0;
    call_outcome outcome = call_outcome::unknown;
    reason_code reason = reason_code::none;
    /// Body of the response of a completed call.
    std::string response;
    /// Processes that may have run the call; empty if the caller does not know them.
    std::vector<std::string> candidates;
};

/// An execution of a request as recorded by a stub upstream.
struct execution_record {
    std::string key;
    std::string payload;
    double start = 0;
    /// Absent if the upstream stopped before the execution ended.
    std::optional<double> end;
    std::string response;
};

/// The death of a process, or a fault injected into it.
struct disturbance_record {
    enum class kind : std::uint8_t {
        death, ///< The process ended without draining.
        fault, ///< The process was paused, or connections to it were broken.
    };

    kind type = kind::death;
    std::string process;
    double time = 0;
};

/// Configuration version that a node reported.
struct version_record {
    std::string node;
    double time = 0;
    std::uint64_t version = 0;
};

struct records {
    std::vector<call_record> calls;
    std::vector<execution_record> executions;
    std::vector<disturbance_record> disturbances;
    std::vector<version_record> versions;
};

/// Parses JSON lines and appends their records, or returns an error that names the line. Each line
/// is an object with "type" call, execution, death, fault or version and the fields of that record;
/// the reason of a call is "reason".
absl::Status read(std::istream& lines, records& recorded);

} // namespace chestnutstand::history
