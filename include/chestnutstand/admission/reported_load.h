#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace chestnutstand {

/// Load that an upstream reports about itself in a response header.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Current service time on the VM of the upstream relative to its usual one; 2 means that
    /// requests take twice as long.
    double pace = 1.0;

    bool has_free_slot() const { return waiting == 0 && running < slots; }
};

/// Parses RUNNING,WAITING,SLOTS,PACE, where PACE is the relative service time in per cent; nullopt
/// if the text has another form.
std::optional<reported_load> parse_reported_load(std::string_view text);

} // namespace chestnutstand
