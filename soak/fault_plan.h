#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chestnutstand::soak {

enum class fault_kind : std::uint8_t {
    pause_node,
    kill_node, ///< SIGKILL, then a restart.
    stop_node, ///< SIGTERM, then a restart.
    pause_upstream,
    kill_upstream, ///< SIGKILL, then a restart.
    slow_upstream,
    shedding_upstream, ///< Refuses all requests as not run.
    failing_upstream,  ///< Responds with 500 at once.
    crossed_answers,   ///< Responses carry the id of another request.
    caller_link,
    node_link,
    upstream_link,
    store_link,
    gossip_cut, ///< Datagrams to the node are lost, those from it arrive.
    gossip_loss,
    gossip_delay,
    pause_store,
};

inline constexpr name_table<fault_kind, 17> fault_kind_names{
    {"pause_node", "kill_node", "stop_node", "pause_upstream", "kill_upstream", "slow_upstream",
     "shedding_upstream", "failing_upstream", "crossed_answers", "caller_link", "node_link",
     "upstream_link", "store_link", "gossip_cut", "gossip_loss", "gossip_delay", "pause_store"}};

struct planned_fault {
    fault_kind kind = fault_kind::pause_node;
    std::size_t node = 0;
    milliseconds from{0};
    milliseconds duration{0};
    /// Random number that selects the parameters of the fault.
    std::uint64_t variant = 0;
};

/// Returns the faults of a run, ordered by their start: bursts of up to four overlapping faults
/// that begin within two seconds, with pauses between the bursts. Deterministic for a seed.
std::vector<planned_fault> plan_faults(std::uint64_t seed, milliseconds length, std::size_t nodes);

} // namespace chestnutstand::soak
