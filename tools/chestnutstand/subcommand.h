#pragma once

#include "chestnutstand/support/registry.h"

#include <string_view>

namespace chestnutstand {

/// Exit statuses of the program.
enum exit_status : int {
    exit_success = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid_input = 3,
};

/// One of the program's subcommands. A file-local registration<Implementation, subcommand> with the
/// subcommand's name makes it available.
class subcommand {
public:
    subcommand() = default;
    subcommand(const subcommand&) = delete;
    subcommand& operator=(const subcommand&) = delete;
    virtual ~subcommand() = default;

    /// One line for the list of subcommands.
    virtual std::string_view summary() const = 0;

    /// Text for --help.
    virtual std::string_view usage() const = 0;

    /// Runs with the arguments from the subcommand's name on; --help and --version have been
    /// handled. Returns the exit status.
    virtual int run(int argc, char** argv) = 0;
};

using subcommand_registry = registry<subcommand>;

} // namespace chestnutstand
