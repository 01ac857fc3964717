#pragma once

#include "chestnutstand/support/reason.h"
#include "chestnutstand/transport/http_client.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chestnutstand::soak {

/// Times are milliseconds since the start of the run.
struct interval {
    double from = 0;
    double to = 0;

    bool overlaps(const interval& other) const { return from < other.to && other.from < to; }
};

/// A call and its result at the caller.
struct call_record {
    std::string id;
    bool repeatable = false;
    std::size_t node = 0;
    interval time;
    http_error error = http_error::none;
    int status = 0;
    call_outcome outcome = call_outcome::unknown;
    /// Whether the body of a completed call belongs to its own request.
    bool body_matches = true;
};

/// A request that reached an upstream.
struct arrival_record {
    std::string id;
    std::size_t upstream = 0;
    /// False if the upstream refused it.
    bool executed = true;
    double time = 0;
};

/// Config document version that a node reported.
struct version_record {
    std::size_t node = 0;
    /// Number of starts of the node so far.
    std::size_t start_count = 0;
    double time = 0;
    std::uint64_t version = 0;
};

struct publication_record {
    std::uint64_t version = 0;
    double time = 0;
};

/// Period affected by a fault of a node, of its upstream or of one of its links.
struct disturbance_record {
    std::size_t node = 0;
    /// Includes the recovery time, in which connections and membership are restored.
    interval time;
    /// Part of the period in which callers of the node may get no response.
    interval callers_cut_off;
};

/// A planned stop of a node, from SIGTERM to the exit of the process.
struct stop_record {
    std::size_t node = 0;
    interval time;
    int exit_status = 0;
    /// Whether another fault cut off callers of the node meanwhile.
    bool disturbed = false;
    /// When the node was started again.
    double restart = 0;
};

struct run_record {
    std::vector<call_record> calls;
    std::vector<arrival_record> arrivals;
    std::vector<version_record> versions;
    std::vector<publication_record> publications;
    std::vector<disturbance_record> disturbances;
    std::vector<stop_record> stops;
    std::vector<interval> store_disturbances;
    interval time;
    /// Whether all nodes served calls again after the last fault.
    bool recovered = false;
};

} // namespace chestnutstand::soak
