#include "option_parser.h"

#include "chestnutstand/support/str_cat.h"

#include <getopt.h>

#include <algorithm>

namespace chestnutstand {
namespace {

enum option_code : int { help_code = 1, version_code, first_option_code };

std::vector<option> to_getopt(const std::vector<command_option>& options)
{
    std::vector<option> table{{"help", no_argument, nullptr, help_code},
                              {"version", no_argument, nullptr, version_code}};
    int code = first_option_code;
    for (const auto& option : options) {
        table.push_back({option.name.c_str(),
                         option.argument.empty() ? no_argument : required_argument, nullptr, code});
        ++code;
    }
    table.push_back({nullptr, 0, nullptr, 0});
    return table;
}

std::string option_line(std::string usage, std::string_view help)
{
    constexpr std::size_t help_column = 30;
    usage.resize(std::max(help_column, usage.size() + 1), ' ');
    return str_cat("  ", usage, help, "\n");
}

} // namespace

absl::StatusOr<parsed_arguments> parse_options(const std::vector<std::string>& arguments,
                                               const std::vector<command_option>& options)
{
    auto argument_copies = arguments;
    std::string program = "chestnutstand";
    std::vector<char*> argv{program.data()};
    for (auto& argument : argument_copies) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const auto table = to_getopt(options);
    const int argc = static_cast<int>(argv.size()) - 1;
    parsed_arguments result;
    // Setting optind to 0 resets getopt_long. The leading ':' makes it return ':' for a missing
    // value.
    optind = 0;
    opterr = 0;
    for (;;) {
        const int code = getopt_long(argc, argv.data(), ":", table.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (code == '?' || code == ':') {
            return absl::InvalidArgumentError(
                str_cat(code == ':' ? "option needs a value: " : "unknown option: ",
                        std::string{argv[optind - 1]}));
        }
        if (code >= first_option_code) {
            *options[code - first_option_code].value = optarg == nullptr ? "true" : optarg;
        }
        result.help = result.help || code == help_code;
        result.version = result.version || code == version_code;
    }
    result.positional.assign(argv.begin() + optind, argv.begin() + argc);
    return result;
}

absl::Status check_required(const std::vector<command_option>& options)
{
    for (const auto& option : options) {
        if (option.required && option.value->empty()) {
            return absl::InvalidArgumentError(
                str_cat("missing option: --", option.name, " ", option.argument));
        }
    }
    return absl::OkStatus();
}

std::string describe_options(const std::vector<command_option>& options)
{
    std::string text;
    for (const auto& option : options) {
        text += option_line(
            str_cat("--", option.name, option.argument.empty() ? "" : " ", option.argument),
            str_cat(option.help, option.required ? " (required)" : ""));
    }
    text += option_line("--help", "print this text");
    return text + option_line("--version", "print the version");
}

} // namespace chestnutstand
