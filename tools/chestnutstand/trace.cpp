#include "subcommand.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

/// A log line about the traced request.
struct traced_line {
    std::int64_t time_ms = 0;
    std::string source;
    nlohmann::ordered_json fields;
};

/// Appends the lines with this request id to matches. Text before the JSON object, such as the
/// prefix of a log collector, becomes the source of the line; without it, the file does.
void collect(std::istream& log, const std::string& file, const std::string& id,
             std::vector<traced_line>& matches)
{
    for (std::string line; std::getline(log, line);) {
        const auto start = line.find('{');
        if (start == std::string::npos || line.find(id) == std::string::npos) {
            continue;
        }
        auto fields = nlohmann::ordered_json::parse(line.substr(start), nullptr, false);
        if (!fields.is_object() || fields.value("request_id", "") != id) {
            continue;
        }
        const std::string prefix = line.substr(0, start);
        matches.push_back({fields.value("time_ms", std::int64_t{0}), prefix.empty() ? file : prefix,
                           std::move(fields)});
    }
}

void print(const traced_line& line, std::int64_t first_ms)
{
    std::cout << "+" << line.time_ms - first_ms << " ms  " << line.source << "  "
              << line.fields.value("message", "") << '\n';
    for (const auto& [key, value] : line.fields.items()) {
        if (key != "message" && key != "time_ms" && key != "level" && key != "request_id") {
            std::cout << "    " << key << ": " << value.dump() << '\n';
        }
    }
}

class trace_command final : public subcommand {
public:
    std::string_view summary() const override
    {
        return "print the log lines of several nodes about one request, in order of time";
    }
    std::string_view arguments() const override { return "REQUEST_ID FILE..."; }
    std::vector<command_option> options() override { return {}; }

    int run(const std::vector<std::string>& arguments) override
    {
        if (arguments.size() < 2) {
            return fail(exit_usage, "expected trace REQUEST_ID FILE...");
        }
        std::vector<traced_line> matches;
        for (std::size_t i = 1; i < arguments.size(); ++i) {
            std::ifstream log{arguments[i]};
            if (!log) {
                return fail(exit_failed, arguments[i] + ": expected a readable file");
            }
            collect(log, arguments[i], arguments[0], matches);
        }
        if (matches.empty()) {
            return fail(exit_failed, "no log line about request " + arguments[0]);
        }
        std::stable_sort(matches.begin(), matches.end(), [](const auto& left, const auto& right) {
            return left.time_ms < right.time_ms;
        });
        for (const auto& line : matches) {
            print(line, matches.front().time_ms);
        }
        return exit_success;
    }
};

const registration<trace_command, subcommand> registered{"trace"};

} // namespace
} // namespace chestnutstand
