#pragma once

#include "chestnutstand/support/name_table.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

enum class liveness : std::uint8_t { alive, suspect, dead, left };

inline constexpr name_table<liveness, 4> liveness_names{{"alive", "suspect", "dead", "left"}};

/// State of one node in the membership protocol.
struct member {
    node_reference node;
    std::uint16_t gossip_port = 0;
    std::uint64_t incarnation = 0;
    liveness state = liveness::alive;
    std::string data_centre;
    /// Service of the node's upstream; empty while no upstream is registered.
    std::string service;
    bool draining = false;
    std::uint32_t slots = 0;
};

/// Members that may receive calls, by service. A published table is immutable; each change
/// publishes a new one.
struct routing_table {
    std::unordered_map<std::string, std::vector<member>> by_service;

    /// Number of members of all services.
    std::size_t node_count() const
    {
        std::size_t count = 0;
        for (const auto& [service, members] : by_service) {
            count += members.size();
        }
        return count;
    }

    /// Null when no member serves the service.
    const std::vector<member>* find(const std::string& service) const
    {
        const auto found = by_service.find(service);
        return found == by_service.end() ? nullptr : &found->second;
    }
};

} // namespace chestnutstand
