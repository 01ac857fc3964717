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

/// One node as the membership protocol knows it.
struct member {
    node_reference node;
    std::uint16_t gossip_port = 0;
    std::uint64_t incarnation = 0;
    liveness state = liveness::alive;
    std::string data_centre;
    /// Service of the node's upstream; empty while none is registered.
    std::string service;
    bool draining = false;
    std::uint32_t slots = 0;
};

/// Members that may receive calls, by service. Immutable; a new one is published on every change.
struct routing_table {
    std::unordered_map<std::string, std::vector<member>> by_service;

    /// Members with an upstream, of all services.
    std::size_t node_count() const
    {
        std::size_t count = 0;
        for (const auto& [service, members] : by_service) {
            count += members.size();
        }
        return count;
    }

    const std::vector<member>* find(const std::string& service) const
    {
        const auto found = by_service.find(service);
        return found == by_service.end() ? nullptr : &found->second;
    }
};

} // namespace chestnutstand
