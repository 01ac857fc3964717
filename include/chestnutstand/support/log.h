#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace chestnutstand {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// A key and its value in a log line.
struct log_field {
    std::string_view key;
    std::variant<std::string, double, std::int64_t, std::uint64_t, bool> value;
};

/// Starts logging JSON lines to standard output, from the given level on.
void init_logging(log_level lowest);

/// Changes the lowest level that is logged.
void set_log_level(log_level lowest);

/// The level with this name, or info when there is none.
log_level log_level_from(std::string_view name);

/// Writes one JSON line with the message and the fields. Never blocks. Lines are rate limited per
/// message; the next line that is written states how many were suppressed. Thread-safe.
void log_event(log_level level, std::string_view message,
               std::initializer_list<log_field> fields = {});

} // namespace chestnutstand
