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

    bool meets(const interval& other) const { return from < other.to && other.from < to; }
};

/// A call as its caller saw it.
struct call_record {
    std::string id;
    bool repeatable = false;
    std::size_t node = 0;
    interval time;
    http_error error = http_error::none;
    int status = 0;
    call_outcome outcome = call_outcome::unknown;
    /// Whether the body of a completed call is the one of its own request.
    bool own_body = true;
};

/// A request that reached an upstream.
struct arrival_record {
    std::string id;
    std::size_t upstream = 0;
    bool runs = true;
    double time = 0;
};

/// Version of the document that a process reported.
struct version_record {
    std::size_t node = 0;
    /// Counts the starts of the node.
    std::size_t life = 0;
    double time = 0;
    std::uint64_t version = 0;
};

struct publication_record {
    std::uint64_t version = 0;
    double time = 0;
};

/// Time in which something was done to a node, to its upstream or to one of its links.
struct disturbance_record {
    std::size_t node = 0;
    /// With the time after it in which connections and tables are made good.
    interval time;
    /// The part in which callers of the node may go without an answer.
    interval callers_cut_off;
};

/// A planned stop of a node, from the signal to the end of the process.
struct stop_record {
    std::size_t node = 0;
    interval time;
    int exit_status = 0;
    /// Whether anything else was done to the node meanwhile.
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
    /// Whether all nodes served again after the last fault.
    bool recovered = false;
};

} // namespace chestnutstand::soak
