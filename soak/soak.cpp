// Randomized soak test: runs nodes, upstreams and a store as processes, injects overlapping faults
// from outside and checks the guarantees to callers and upstreams.

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

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;
constexpr milliseconds start_timeout{60'000};
/// Covers the removal of a killed node from the membership, the refutation of a paused one that was
/// declared dead, and the end of outlier ejections.
constexpr milliseconds recovery_timeout{60'000};

struct options {
    std::uint64_t seed = 1;
    double seconds = 30;
    std::size_t nodes = 6;
    std::size_t callers = 8;
    bool timing = true;
    /// Receives logs and records of the run, which are kept.
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
    const option long_options[] = {{"seed", required_argument, nullptr, 's'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {"nodes", required_argument, nullptr, 'n'},
                                   {"callers", required_argument, nullptr, 'c'},
                                   {"directory", required_argument, nullptr, 'd'},
                                   {"no-timing", no_argument, nullptr, 'x'},
                                   {nullptr, 0, nullptr, 0}};
    int option_code = 0;
    while ((option_code = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
        switch (option_code) {
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

std::vector<arrival_record> read_arrivals(const deployment& cluster, time_point start)
{
    std::vector<arrival_record> arrivals;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        std::ifstream file{cluster.arrivals_file(i)};
        for (std::string line; std::getline(file, line);) {
            const auto fields = nlohmann::json::parse(line, nullptr, false);
            // A stub that was killed may have written part of a line.
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
    for (const call_record& call : record.calls) {
        out << nlohmann::json{{"id", call.id},        {"repeatable", call.repeatable},
                              {"node", call.node},    {"from", call.time.from},
                              {"to", call.time.to},   {"error", static_cast<int>(call.error)},
                              {"status", call.status}}
                   .dump()
            << "\n";
    }
}

void print_summary(const options& settings, const run_record& record,
                   const std::vector<violation>& violations)
{
    std::map<std::string, std::size_t> response_counts;
    for (const call_record& call : record.calls) {
        ++response_counts[call.error == http_error::none
                              ? std::to_string(call.status)
                              : absl::StrCat("error ", static_cast<int>(call.error))];
    }
    for (const violation& found : violations) {
        std::printf("%s\n", nlohmann::json{{"broken", guarantee_names.name(found.violated)},
                                           {"detail", found.detail}}
                                .dump()
                                .c_str());
    }
    std::printf("%s\n", nlohmann::json{{"seed", settings.seed},
                                       {"calls", record.calls.size()},
                                       {"answers", response_counts},
                                       {"arrivals", record.arrivals.size()},
                                       {"stops", record.stops.size()},
                                       {"documents", record.publications.size()},
                                       {"broken", violations.size()}}
                            .dump()
                            .c_str());
}

int run(const options& settings)
{
    const std::filesystem::path directory{settings.directory};
    std::filesystem::create_directories(directory);
    if (!std::filesystem::is_empty(directory)) {
        throw std::runtime_error{"record directory is not empty"};
    }
    deployment cluster{directory, settings.nodes, settings.seed};
    run_record record;
    const time_point start = ms_clock::now();
    injector faults{cluster, record, start};
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.start_node(i);
        cluster.start_upstream(i);
    }
    callers load{cluster, settings.seed, settings.callers, start};
    const auto served = [&] { return load.all_served(); };
    const milliseconds length{settings.seconds * 1'000};
    faults.run({}, milliseconds{1});
    if (!testing::eventually(served, start_timeout)) {
        std::fputs("deployment did not serve all routes before the start timeout\n", stderr);
        return exit_violation;
    }
    faults.run(plan_faults(settings.seed, length, cluster.size()), length);
    record.recovered = testing::eventually(served, recovery_timeout);
    load.stop();
    record.time = {0, (ms_clock::now() - start).count()};
    record.calls = load.calls();
    record.versions = load.versions();
    record.arrivals = read_arrivals(cluster, start);
    write_calls(record, directory / "calls.jsonl");
    guarantee_limits limits;
    limits.timing = settings.timing;
    const auto violations = check(record, limits);
    print_summary(settings, record, violations);
    return violations.empty() ? EXIT_SUCCESS : exit_violation;
}

} // namespace

int main(int argc, char** argv)
{
    init_logging(log_level::info);
    int status = exit_violation;
    try {
        status = run(parse_options(argc, argv));
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(stdout);
    // Skips destructors: threads of the relays may be blocked in system calls.
    std::_Exit(status);
}
