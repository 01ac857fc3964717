#pragma once

#include "subcommand.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace chestnutstand {

/// What a command line asks for besides the options' values.
struct parsed_arguments {
    bool help = false;
    bool version = false;
    std::vector<std::string> positional;
};

/// Parses the arguments after the program's or subcommand's name and sets the options' values.
absl::StatusOr<parsed_arguments> parse_options(const std::vector<std::string>& arguments,
                                               const std::vector<command_option>& options);

/// Error when a required option has no value.
absl::Status check_required(const std::vector<command_option>& options);

/// Lines of a help text that describe the options, with --help and --version.
std::string describe_options(const std::vector<command_option>& options);

} // namespace chestnutstand
