#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace chestnutstand {

/// What an upstream says of itself with a response.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on its VM, 1 for the usual time.
    double pace = 1.0;

    bool has_free_slot() const { return waiting == 0 && running < slots; }
};

/// Reads RUNNING,WAITING,SLOTS,PACE, where a pace of 100 is the usual one; nothing when the text
/// has another form.
std::optional<reported_load> parse_reported_load(std::string_view text);

} // namespace chestnutstand
