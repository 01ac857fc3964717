#pragma once

#include "chestnutstand/support/registry.h"

#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Exit statuses of the program.
enum exit_status : int {
    exit_success = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid_input = 3,
};

/// An option --name of a subcommand.
struct command_option {
    std::string name;
    /// Placeholder of the value in the help text; empty for an option without a value.
    std::string argument;
    std::string help;
    /// Receives the value, or "true" for an option without one.
    std::string* value = nullptr;
    bool required = false;
};

/// One of the program's subcommands. A file-local registration<Implementation, subcommand> with the
/// subcommand's name makes it available.
class subcommand {
public:
    subcommand() = default;
    subcommand(const subcommand&) = delete;
    subcommand& operator=(const subcommand&) = delete;
    virtual ~subcommand() = default;

    /// One line for the help texts.
    virtual std::string_view summary() const = 0;

    /// Arguments that are not options, for the usage line; may be empty.
    virtual std::string_view arguments() const = 0;

    /// Options besides --help and --version; their values are set before run().
    virtual std::vector<command_option> options() = 0;

    /// Runs with the arguments that are not options; returns the exit status.
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

using subcommand_registry = registry<subcommand>;

/// Prints "chestnutstand: message" to standard error and returns the status.
int fail(exit_status status, std::string_view message);

} // namespace chestnutstand
