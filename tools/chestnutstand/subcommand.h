#pragma once

#include "chestnutstand/support/registry.h"

#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Exit status of the program.
enum exit_status : int {
    exit_success = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid_input = 3,
};

/// A command line option of a subcommand; the name is without the leading dashes.
struct command_option {
    std::string name;
    /// Placeholder of the value in the help text; empty for an option without a value.
    std::string argument;
    std::string help;
    /// Receives the value, or "true" for an option without one.
    std::string* value = nullptr;
    bool required = false;
};

/// A subcommand of the program. A file-local registration<Implementation, subcommand> registers it
/// under its name.
class subcommand {
public:
    subcommand() = default;
    subcommand(const subcommand&) = delete;
    subcommand& operator=(const subcommand&) = delete;
    virtual ~subcommand() = default;

    /// One-line description for the help texts.
    virtual std::string_view summary() const = 0;

    /// Positional arguments for the usage line; may be empty.
    virtual std::string_view arguments() const = 0;

    /// Options other than --help and --version. Their values are set before run().
    virtual std::vector<command_option> options() = 0;

    /// Runs the subcommand with the positional arguments; returns the exit status.
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

using subcommand_registry = registry<subcommand>;

/// Prints "chestnutstand: message" to standard error and returns the status.
int fail(exit_status status, std::string_view message);

} // namespace chestnutstand
