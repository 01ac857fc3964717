// Measures what a node costs without calls, at several fleet sizes: memory, processor time, gossip
// traffic, and the time until a configuration change is in force everywhere.

#include "../tests/support/fleet.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

using namespace chestnutstand;
using namespace chestnutstand::testing;

namespace {

constexpr milliseconds measured_time{20'000};
constexpr milliseconds settle_time{5'000};
constexpr int changes = 5;

/// Processor time of a process in seconds.
double cpu_seconds(pid_t pid)
{
    std::ifstream stat{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text{std::istreambuf_iterator<char>{stat}, {}};
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    constexpr int fields_before_utime = 11;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    double user_ticks = 0;
    double system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_megabytes(pid_t pid)
{
    std::ifstream statm{"/proc/" + std::to_string(pid) + "/statm"};
    double total_pages = 0;
    double resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

double metric(fleet& all, const fleet_member& of, const std::string& name)
{
    const auto result = exchange(all.client(), of.admin_port, {"GET", "/metrics", {}, ""});
    const auto found = result.response.body.find("\n" + name + " ");
    return found == std::string::npos
               ? 0.0
               : std::strtod(result.response.body.c_str() + found + name.size() + 2, nullptr);
}

struct fleet_cost {
    double cpu = 0;
    double megabytes = 0;
    double gossip_bytes = 0;
};

fleet_cost totals(fleet& all)
{
    fleet_cost sum;
    for (const auto& each : all.members()) {
        sum.cpu += cpu_seconds(each->node->pid());
        sum.megabytes += resident_megabytes(each->node->pid());
        for (const char* name :
             {"chestnutstand_gossip_bytes_sent_total", "chestnutstand_gossip_bytes_received_total",
              "chestnutstand_member_sync_bytes_sent_total",
              "chestnutstand_member_sync_bytes_received_total"}) {
            sum.gossip_bytes += metric(all, *each, name);
        }
    }
    return sum;
}

/// Time from the verdict at the publishing node until all nodes have the version; -1 when they do
/// not get it in time.
double spread_ms(fleet& all, std::uint64_t base_version, std::uint64_t& version, int number)
{
    const auto verdict =
        all.publish(*all.members().front(), "platform", "main", base_version,
                    section_content("platform", {"alpha"}), "change-" + std::to_string(number));
    const time_point accepted = ms_clock::now();
    if (!verdict.is_object() || !verdict.value("accepted", false)) {
        return -1;
    }
    version = verdict["version"].get<std::uint64_t>();
    const bool everywhere = eventually([&] {
        for (const auto& each : all.members()) {
            const auto now = all.status(*each);
            if (!now.is_object() || now["config_version"].is_null() ||
                now["config_version"].get<std::uint64_t>() < version) {
                return false;
            }
        }
        return true;
    });
    return everywhere ? (ms_clock::now() - accepted).count() : -1;
}

void measure(std::size_t nodes)
{
    fleet all;
    for (std::size_t i = 0; i < nodes; ++i) {
        all.add(i % 2 == 0 ? "east" : "west", "");
    }
    std::uint64_t version = 0;
    double worst_ms = 0;
    for (int i = 0; i < changes; ++i) {
        worst_ms = std::max(worst_ms, spread_ms(all, version, version, i));
    }
    std::this_thread::sleep_for(settle_time);
    const fleet_cost before = totals(all);
    std::this_thread::sleep_for(measured_time);
    const fleet_cost after = totals(all);
    const double seconds = measured_time.count() / 1000.0;
    const auto count = static_cast<double>(nodes);
    std::printf("| %zu | %.1f | %.2f | %.0f | %.0f |\n", nodes, after.megabytes / count,
                (after.cpu - before.cpu) / seconds / count * 100.0,
                (after.gossip_bytes - before.gossip_bytes) / seconds / count, worst_ms);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    std::printf("| nodes | resident MB per node | CPU %% of a core per node | gossip B/s per node, "
                "both directions | slowest of %d changes until in force everywhere, ms |\n"
                "| --- | --- | --- | --- | --- |\n",
                changes);
    if (argc == 1) {
        for (const std::size_t nodes : {4, 12, 36}) {
            measure(nodes);
        }
    }
    for (int i = 1; i < argc; ++i) {
        measure(std::strtoul(argv[i], nullptr, 10));
    }
    return EXIT_SUCCESS;
}
