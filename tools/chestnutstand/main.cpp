#include "option_parser.h"
#include "subcommand.h"

#include "chestnutstand/support/str_cat.h"

#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

int fail(exit_status status, std::string_view message)
{
    std::cerr << "chestnutstand: " << message << '\n';
    return status;
}

namespace {

int usage_error(std::string_view message, std::string_view name)
{
    return fail(exit_usage,
                str_cat(message, "; see chestnutstand ", name, name.empty() ? "" : " ", "--help"));
}

int print_version()
{
    std::cout << "chestnutstand " << CHESTNUTSTAND_VERSION << '\n';
    return exit_success;
}

int print_help()
{
    std::cout << "usage: chestnutstand SUBCOMMAND [OPTION]... [ARGUMENT]...\n\nsubcommands:\n";
    for (const auto& [name, make] : subcommand_registry::instance().factories()) {
        std::string name_column = name;
        name_column.resize(12, ' ');
        std::cout << "  " << name_column << make()->summary() << '\n';
    }
    std::cout << "\noptions:\n"
              << describe_options({})
              << "\nexit status: 0 success, 1 refused or failed, 2 usage error, 3 input invalid\n";
    return exit_success;
}

int print_help(std::string_view name, subcommand& command)
{
    std::cout << "usage: chestnutstand " << name << " [OPTION]..."
              << (command.arguments().empty() ? "" : " ") << command.arguments() << "\n\n"
              << command.summary() << "\n\noptions:\n"
              << describe_options(command.options());
    return exit_success;
}

int run_subcommand(const std::string& name, const std::vector<std::string>& arguments)
{
    const auto command = subcommand_registry::instance().make(name);
    if (!command) {
        return usage_error(str_cat("unknown subcommand: ", name), "");
    }
    const auto options = command->options();
    const auto parsed = parse_options(arguments, options);
    if (!parsed.ok()) {
        return usage_error(std::string{parsed.status().message()}, name);
    }
    if (parsed->help) {
        return print_help(name, *command);
    }
    if (parsed->version) {
        return print_version();
    }
    if (const auto status = check_required(options); !status.ok()) {
        return usage_error(std::string{status.message()}, name);
    }
    return command->run(parsed->positional);
}

int run(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && arguments[0].substr(0, 1) != "-") {
        return run_subcommand(arguments[0], {arguments.begin() + 1, arguments.end()});
    }
    const auto parsed = parse_options(arguments, {});
    if (!parsed.ok()) {
        return usage_error(std::string{parsed.status().message()}, "");
    }
    if (parsed->version) {
        return print_version();
    }
    return parsed->help ? print_help() : usage_error("expected a subcommand", "");
}

} // namespace
} // namespace chestnutstand

int main(int argc, char** argv)
{
    return chestnutstand::run({argv + 1, argv + argc});
}
