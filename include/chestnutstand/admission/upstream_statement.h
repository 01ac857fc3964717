#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Parses a number of requests per second; nullopt unless the text is a finite decimal number of
/// at least 0.
std::optional<double> parse_rate_limit(std::string_view text);

/// What a process of the upstream says of itself in its responses. It applies to that process only.
/// Does no I/O. Not thread-safe.
class upstream_statement {
public:
    /// Replaces the statement if it is of another process.
    void set_process(const std::string& id, std::uint64_t born_ms);

    /// Whether the statement is of this process.
    bool is_of(const std::string& id, std::uint64_t born_ms) const;

    /// Sets the requests per second that the process takes, nullopt if it does not name a limit any
    /// more. Returns whether that is a change.
    bool set_rate_limit(std::optional<double> per_second);

    /// Records that the process is about to leave. Returns whether that is new.
    bool set_leaving();

    std::optional<double> rate_limit() const { return rate_limit_; }

private:
    std::string id_;
    std::uint64_t born_ms_ = 0;
    std::optional<double> rate_limit_;
    bool leaving_ = false;
};

} // namespace chestnutstand
