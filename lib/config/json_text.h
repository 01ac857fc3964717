#pragma once

#include "chestnutstand/config/document.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Location of a value: the file or section, and the path in it. Used in error messages.
struct json_location {
    /// Name of the file or section.
    std::string source;
    /// Empty for the root value.
    std::string path;
    /// Whether keys that the schema does not list are ignored rather than refused.
    bool unknown_keys_allowed = false;
    /// Receives a message for each value that does not fit the schema and is tolerated. Null if
    /// such values are errors.
    tolerated_values* tolerated = nullptr;

    /// Location of a member of this object.
    json_location key(std::string_view name) const;
    /// Location of an element of this array.
    json_location element(std::size_t index) const;
};

/// InvalidArgumentError that names the location and the expected value or the problem.
absl::Status invalid_value(const json_location& at, std::string_view expected,
                           const nlohmann::json& found);
absl::Status invalid_value(const json_location& at, std::string_view problem);

/// Like invalid_value() where a list or an object is expected. Does not show a text found there,
/// which may be a secret that belongs into the list.
absl::Status invalid_container(const json_location& at, std::string_view expected,
                               const nlohmann::json& found);

/// Parses JSON with comments. Duplicate keys of an object are an error; source names the file or
/// section in errors.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text, std::string_view source);

} // namespace chestnutstand
