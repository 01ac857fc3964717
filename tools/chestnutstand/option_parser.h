#pragma once

#include "subcommand.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace chestnutstand {

/// Result of parsing a command line, apart from the values of options.
struct parsed_arguments {
    bool help = false;
    bool version = false;
    std::vector<std::string> positional;
};

/// Parses the arguments after the name of the program or subcommand and stores the values of the
/// options. InvalidArgumentError for an unknown option or a missing value.
absl::StatusOr<parsed_arguments> parse_options(const std::vector<std::string>& arguments,
                                               const std::vector<command_option>& options);

/// InvalidArgumentError when a required option has no value.
absl::Status check_required(const std::vector<command_option>& options);

/// Lines of a help text that describe these options, --help and --version.
std::string describe_options(const std::vector<command_option>& options);

} // namespace chestnutstand
