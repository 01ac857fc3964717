#pragma once

#include "chestnutstand/transport/peer_client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

enum class liveness : std::uint8_t { alive, suspect, dead, left };

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

    const std::vector<member>* find(const std::string& service) const
    {
        const auto found = by_service.find(service);
        return found == by_service.end() ? nullptr : &found->second;
    }
};

} // namespace chestnutstand
