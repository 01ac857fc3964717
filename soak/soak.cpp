// Randomized soak: runs nodes, upstreams and a store as processes, injects overlapping faults from
// outside and checks what callers and upstreams are promised.

#include "callers.h"
#include "checks.h"
#include "injector.h"

#include "../tests/support/fleet.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>

using namespace chestnutstand;
using namespace chestnutstand::soak;

namespace {

constexpr int exit_violated = 1;
constexpr int exit_usage = 2;
constexpr milliseconds start_limit{60'000};
/// A killed node is forgotten, a paused one refutes its death, and outlier ejections end.
constexpr milliseconds recovery_limit{60'000};

struct options {
    std::uint64_t seed = 1;
    double seconds = 30;
    std::size_t nodes = 6;
    std::size_t callers = 8;
    bool timing = true;
    /// Logs and records of the run; kept after it.
    std::string directory;
};

[[noreturn]] void usage()
{
    std::fputs("usage: chestnutstand_soak --directory DIR [--seed N] [--seconds S] [--nodes N] "
               "[--callers N] [--no-timing]\n",
               stderr);
    std::exit(exit_usage);
}

options parse_options(int argc, char** argv)
{
    options result;
    const option known[] = {{"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"nodes", required_argument, nullptr, 'n'},
                            {"callers", required_argument, nullptr, 'c'},
                            {"directory", required_argument, nullptr, 'd'},
                            {"no-timing", no_argument, nullptr, 'x'},
                            {nullptr, 0, nullptr, 0}};
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
        case 's':
            result.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            result.seconds = std::strtod(optarg, nullptr);
            break;
        case 'n':
            result.nodes = std::strtoull(optarg, nullptr, 10);
            break;
        case 'c':
            result.callers = std::strtoull(optarg, nullptr, 10);
            break;
        case 'd':
            result.directory = optarg;
            break;
        case 'x':
            result.timing = false;
            break;
        default:
            usage();
        }
    }
    if (result.directory.empty() || result.nodes < 2 || optind != argc) {
        usage();
    }
    return result;
}

std::vector<arrival_record> read_arrivals(const deployment& all, time_point start)
{
    std::vector<arrival_record> arrivals;
    for (std::size_t i = 0; i < all.size(); ++i) {
        std::ifstream file{all.arrivals_file(i)};
        for (std::string line; std::getline(file, line);) {
            const auto fields = nlohmann::json::parse(line, nullptr, false);
            // A stub that was killed may have left a part of a line.
            if (fields.is_object()) {
                const double time = fields["time"].get<double>();
                arrivals.push_back(
                    {fields["id"], i, fields["runs"], time - start.time_since_epoch().count()});
            }
        }
    }
    return arrivals;
}

void write_calls(const run_record& record, const std::filesystem::path& file)
{
    std::ofstream out{file};
    for (const call_record& each : record.calls) {
        out << nlohmann::json{{"id", each.id},        {"repeatable", each.repeatable},
                              {"node", each.node},    {"from", each.time.from},
                              {"to", each.time.to},   {"error", static_cast<int>(each.error)},
                              {"status", each.status}}
                   .dump()
            << "\n";
    }
}

void print_summary(const options& chosen, const run_record& record,
                   const std::vector<violation>& violations)
{
    std::map<std::string, std::size_t> answers;
    for (const call_record& each : record.calls) {
        ++answers[each.error == http_error::none
                      ? std::to_string(each.status)
                      : absl::StrCat("error ", static_cast<int>(each.error))];
    }
    for (const violation& each : violations) {
        std::printf("%s\n", nlohmann::json{{"broken", promise_names.name(each.broken)},
                                           {"detail", each.detail}}
                                .dump()
                                .c_str());
    }
    std::printf("%s\n", nlohmann::json{{"seed", chosen.seed},
                                       {"calls", record.calls.size()},
                                       {"answers", answers},
                                       {"arrivals", record.arrivals.size()},
                                       {"stops", record.stops.size()},
                                       {"documents", record.publications.size()},
                                       {"broken", violations.size()}}
                            .dump()
                            .c_str());
}

int run(const options& chosen)
{
    const std::filesystem::path directory{chosen.directory};
    std::filesystem::create_directories(directory);
    if (!std::filesystem::is_empty(directory)) {
        throw std::runtime_error{"the directory holds the records of another run"};
    }
    deployment all{directory, chosen.nodes, chosen.seed};
    run_record record;
    const time_point start = ms_clock::now();
    injector faults{all, record, start};
    for (std::size_t i = 0; i < all.size(); ++i) {
        all.start_node(i);
        all.start_upstream(i);
    }
    callers load{all, chosen.seed, chosen.callers, start};
    const auto served = [&] { return load.all_served(); };
    const milliseconds length{chosen.seconds * 1'000};
    faults.run({}, milliseconds{1});
    if (!testing::eventually(served, start_limit)) {
        std::fputs("the deployment did not start\n", stderr);
        return exit_violated;
    }
    faults.run(plan_faults(chosen.seed, length, all.size()), length);
    record.recovered = testing::eventually(served, recovery_limit);
    load.stop();
    record.time = {0, (ms_clock::now() - start).count()};
    record.calls = load.calls();
    record.versions = load.versions();
    record.arrivals = read_arrivals(all, start);
    write_calls(record, directory / "calls.jsonl");
    promise_limits limits;
    limits.timing = chosen.timing;
    const auto violations = check(record, limits);
    print_summary(chosen, record, violations);
    return violations.empty() ? EXIT_SUCCESS : exit_violated;
}

} // namespace

int main(int argc, char** argv)
{
    init_logging(log_level::info);
    int status = exit_violated;
    try {
        status = run(parse_options(argc, argv));
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(stdout);
    // Threads of the relays may be blocked in system calls.
    std::_Exit(status);
}
