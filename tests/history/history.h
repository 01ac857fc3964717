#pragma once

#include "chestnutstand/support/reason.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand::history {

/// A call as its caller saw it. Times are milliseconds on one clock of the machine.
struct call_record {
    std::string id;
    /// Empty for a call without a key.
    std::string key;
    /// Unique per request; repeated calls with the same key and request share it. Empty for a query
    /// of a key.
    std::string payload;
    double start = 0;
    double end = 0;
    call_outcome outcome = call_outcome::unknown;
    reason_code reason = reason_code::none;
    /// Body of the response of a completed call.
    std::string response;
    /// Processes that may have run the call, if the caller knows them.
    std::vector<std::string> candidates;
};

/// A request as a stub upstream ran it.
struct execution_record {
    std::string key;
    std::string payload;
    double start = 0;
    /// Missing when the upstream stopped before the end.
    std::optional<double> end;
    std::string response;
};

/// Something that was done to a process.
struct disturbance_record {
    enum class kind : std::uint8_t {
        death, ///< The process ended without draining.
        fault, ///< The process was paused, or connections to it were broken.
    };

    kind what = kind::death;
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

/// Adds the records of JSON lines, or returns an error that names the line. Each line is an object
/// with "type" call, execution, death, fault or version and the fields of that record; the reason
/// of a call is "reason".
absl::Status read(std::istream& lines, records& into);

} // namespace chestnutstand::history
