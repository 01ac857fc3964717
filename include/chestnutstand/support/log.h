#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace chestnutstand {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// One key and value of a log line.
struct log_field {
    std::string_view key;
    std::variant<std::string, double, std::int64_t, std::uint64_t, bool> value;
};

/// Starts logging of JSON lines to standard output. Levels: debug, info, warning, error.
void init_logging(log_level lowest);

/// Changes the lowest level while the process runs.
void set_log_level(log_level lowest);

/// Level of a name, or info when the name is none of the four.
log_level log_level_from(std::string_view name);

/// Writes one JSON line with the message and the fields. Never blocks; the lines per second of one
/// message are bounded, and the next line tells how many were left out.
void log_event(log_level level, std::string_view message,
               std::initializer_list<log_field> fields = {});

} // namespace chestnutstand
