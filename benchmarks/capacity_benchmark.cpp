// Measures what a node costs: without calls at several fleet sizes (memory, processor time, gossip
// traffic, time until a configuration change is in force everywhere), and per call and per key.
// Arguments: fleet sizes, or "slopes" for the costs per call and per key only.

#include "../tests/support/fleet.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace chestnutstand;
using namespace chestnutstand::testing;

namespace {

constexpr milliseconds measured_time{20'000};
constexpr milliseconds settle_time{5'000};
constexpr int changes = 5;
constexpr int caller_threads = 8;
constexpr int warm_up_calls = 2'000;
constexpr int keys_per_request = 1'000;

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

/// Two nodes, of which only the second has an upstream, so that every call crosses both.
struct call_path {
    fleet all;
    fleet_member* entry = nullptr;
    fleet_member* executing = nullptr;

    bool start()
    {
        entry = &all.add("east", "");
        executing = &all.add("east", "alpha", {"--slots", "64"});
        all.publish(*entry, "platform", "main", 0, section_content("platform", {"alpha"}), "c");
        return all.wait_until_ready(1);
    }

    /// Sends calls from several threads, one after the other in each.
    void send(int count, const std::function<http_request(int)>& make)
    {
        std::atomic<int> next{0};
        std::vector<std::thread> callers;
        callers.reserve(caller_threads);
        for (int i = 0; i < caller_threads; ++i) {
            callers.emplace_back([&] {
                for (int number = next++; number < count; number = next++) {
                    exchange(all.client(), entry->caller_port, make(number));
                }
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
    }
};

void measure_calls(int count)
{
    call_path path;
    if (!path.start()) {
        return;
    }
    const auto make = [](int) {
        return http_request{"POST", "/call/alpha/x", {}, std::string(256, 'x')};
    };
    path.send(warm_up_calls, make);
    const double entry_before = cpu_seconds(path.entry->node->pid());
    const double executing_before = cpu_seconds(path.executing->node->pid());
    path.send(count, make);
    constexpr double microseconds = 1e6;
    std::printf("| %d | %.0f | %.0f |\n", count,
                (cpu_seconds(path.entry->node->pid()) - entry_before) / count * microseconds,
                (cpu_seconds(path.executing->node->pid()) - executing_before) / count *
                    microseconds);
    std::fflush(stdout);
}

std::vector<std::string> issue_keys(call_path& path, int count)
{
    std::vector<std::string> keys;
    while (static_cast<int>(keys.size()) < count) {
        const auto result =
            exchange(path.all.client(), path.entry->caller_port,
                     {"POST", "/keys/alpha?count=" + std::to_string(keys_per_request), {}, ""});
        const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
        if (!body.is_object() || !body.contains("keys")) {
            return keys;
        }
        for (const auto& key : body["keys"]) {
            keys.push_back(key.get<std::string>());
        }
    }
    return keys;
}

void measure_keys(int count)
{
    call_path path;
    if (!path.start()) {
        return;
    }
    const auto keys = issue_keys(path, count);
    if (static_cast<int>(keys.size()) < count) {
        return;
    }
    const double entry_before = resident_megabytes(path.entry->node->pid());
    const double executing_before = resident_megabytes(path.executing->node->pid());
    path.send(count, [&](int number) {
        return http_request{"POST",
                            "/call/alpha/x",
                            {{"Chestnut-Priority", "write"},
                             {"Idempotency-Key", keys[static_cast<std::size_t>(number)]}},
                            std::string(256, 'x')};
    });
    std::printf("| %d | %.1f | %.1f |\n", count,
                resident_megabytes(path.entry->node->pid()) - entry_before,
                resident_megabytes(path.executing->node->pid()) - executing_before);
    std::fflush(stdout);
}

void measure_slopes()
{
    std::printf("\n| calls | CPU us per call, entry node | CPU us per call, executing node |\n"
                "| --- | --- | --- |\n");
    for (const int calls : {5'000, 10'000, 20'000}) {
        measure_calls(calls);
    }
    std::printf("\n| keyed calls | MB more, key owner | MB more, executor |\n"
                "| --- | --- | --- |\n");
    for (const int calls : {2'000, 6'000, 18'000}) {
        measure_keys(calls);
    }
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
        measure_slopes();
    }
    for (int i = 1; i < argc; ++i) {
        if (std::string{argv[i]} == "slopes") {
            measure_slopes();
            continue;
        }
        measure(std::strtoul(argv[i], nullptr, 10));
    }
    return EXIT_SUCCESS;
}
