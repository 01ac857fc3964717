#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace chestnutstand {

/// A file or section, and the path of a value in it.
struct json_location {
    std::string source;
    std::string path;
    /// Whether keys that the schema does not list are skipped instead of refused.
    bool unknown_keys_allowed = false;

    json_location key(std::string_view name) const;
    json_location element(std::size_t index) const;
};

/// Error that names the place and the expected value.
absl::Status invalid_value(const json_location& at, std::string_view expected,
                           const nlohmann::json& found);
absl::Status invalid_value(const json_location& at, std::string_view problem);

/// Parses JSON with comments; duplicate keys of an object are an error.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text, std::string_view source);

} // namespace chestnutstand
