#pragma once

#include "chestnutstand/config/settings.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace chestnutstand {

/// Parses settings from JSON with comments. An error names the file, the key and the expected
/// value.
absl::StatusOr<settings> parse_settings(std::string_view text, std::string_view file_name);

/// Loads a settings file; NotFoundError when the file cannot be read.
absl::StatusOr<settings> load_settings(const std::string& path);

/// Content of a file; NotFoundError when it cannot be read.
absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace chestnutstand
