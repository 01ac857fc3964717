#include "history_checker.h"

#include <fstream>
#include <iostream>

namespace {

constexpr int exit_violated = 1;
constexpr int exit_usage = 2;
constexpr int exit_invalid = 3;

} // namespace

int main(int argc, char** argv)
{
    using namespace chestnutstand;
    if (argc < 2) {
        std::cerr << "usage: history_check FILE...\n";
        return exit_usage;
    }
    history::records seen;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file{argv[i]};
        const auto status =
            file ? history::read(file, seen) : absl::NotFoundError("cannot be opened");
        if (!status.ok()) {
            std::cerr << argv[i] << ": " << status.message() << "\n";
            return exit_invalid;
        }
    }
    const auto result = history::check(seen);
    std::cout << "calls " << seen.calls.size() << " executions " << seen.executions.size()
              << " completed " << result.completed << " not-run " << result.not_run << " unknown "
              << result.unknown << "\n";
    for (const auto& [reason, count] : result.unknown_by_reason) {
        std::cout << "unknown " << to_string(reason) << " " << count << "\n";
    }
    for (const auto& each : result.violations) {
        std::cout << "violated " << history::to_string(each.broken) << ": " << each.detail << "\n";
    }
    return result.holds() ? 0 : exit_violated;
}
