// Measures the resource use of a node: when idle at several cluster sizes (memory, processor time,
// gossip traffic, time until all nodes have applied a configuration change), and per call and per
// idempotency key. Arguments: cluster sizes, or "slopes" for the costs per call and per key only.

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

constexpr milliseconds measurement_time{20'000};
constexpr milliseconds idle_wait{5'000};
constexpr int change_count = 5;
constexpr int caller_threads = 8;
constexpr int warm_up_calls = 2'000;
constexpr int keys_per_request = 1'000;

/// User and system time of a process in seconds.
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

double metric(fleet& cluster, const fleet_member& node, const std::string& name)
{
    const auto result = exchange(cluster.client(), node.admin_port, {"GET", "/metrics", {}, ""});
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

fleet_cost total_cost(fleet& cluster)
{
    fleet_cost sum;
    for (const auto& member : cluster.members()) {
        sum.cpu += cpu_seconds(member->node->pid());
        sum.megabytes += resident_megabytes(member->node->pid());
        for (const char* name :
             {"chestnutstand_gossip_bytes_sent_total", "chestnutstand_gossip_bytes_received_total",
              "chestnutstand_member_sync_bytes_sent_total",
              "chestnutstand_member_sync_bytes_received_total"}) {
            sum.gossip_bytes += metric(cluster, *member, name);
        }
    }
    return sum;
}

/// Time from the acceptance of a change at the publishing node until all nodes have its version; -1
/// if it is refused or does not reach all nodes in time.
double propagation_ms(fleet& cluster, std::uint64_t base_version, std::uint64_t& version, int index)
{
    const auto response =
        cluster.publish(*cluster.members().front(), "platform", "main", base_version,
                        section_content("platform", {"alpha"}), "change-" + std::to_string(index));
    const time_point accepted = ms_clock::now();
    if (!response.is_object() || !response.value("accepted", false)) {
        return -1;
    }
    version = response["version"].get<std::uint64_t>();
    const bool is_applied = eventually([&] {
        for (const auto& member : cluster.members()) {
            const auto status = cluster.status(*member);
            if (!status.is_object() || status["config_version"].is_null() ||
                status["config_version"].get<std::uint64_t>() < version) {
                return false;
            }
        }
        return true;
    });
    return is_applied ? (ms_clock::now() - accepted).count() : -1;
}

void measure_idle(std::size_t nodes)
{
    fleet cluster;
    for (std::size_t i = 0; i < nodes; ++i) {
        cluster.add(i % 2 == 0 ? "east" : "west", "");
    }
    std::uint64_t version = 0;
    double worst_ms = 0;
    for (int i = 0; i < change_count; ++i) {
        worst_ms = std::max(worst_ms, propagation_ms(cluster, version, version, i));
    }
    std::this_thread::sleep_for(idle_wait);
    const fleet_cost before = total_cost(cluster);
    std::this_thread::sleep_for(measurement_time);
    const fleet_cost after = total_cost(cluster);
    const double seconds = measurement_time.count() / 1000.0;
    const auto count = static_cast<double>(nodes);
    std::printf("| %zu | %.1f | %.2f | %.0f | %.0f |\n", nodes, after.megabytes / count,
                (after.cpu - before.cpu) / seconds / count * 100.0,
                (after.gossip_bytes - before.gossip_bytes) / seconds / count, worst_ms);
    std::fflush(stdout);
}

/// Two nodes, of which only the second has an upstream, so that every call passes through both.
struct call_path {
    fleet cluster;
    fleet_member* entry = nullptr;
    fleet_member* executor = nullptr;

    bool start()
    {
        entry = &cluster.add("east", "");
        executor = &cluster.add("east", "alpha", {"--slots", "64"});
        cluster.publish(*entry, "platform", "main", 0, section_content("platform", {"alpha"}), "c");
        return cluster.wait_until_ready(1);
    }

    /// Sends calls from several threads, each with one call at a time.
    void send(int count, const std::function<http_request(int)>& make_request)
    {
        std::atomic<int> next{0};
        std::vector<std::thread> callers;
        callers.reserve(caller_threads);
        for (int i = 0; i < caller_threads; ++i) {
            callers.emplace_back([&] {
                for (int index = next++; index < count; index = next++) {
                    exchange(cluster.client(), entry->caller_port, make_request(index));
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
    const auto make_request = [](int) {
        return http_request{"POST", "/call/alpha/x", {}, std::string(256, 'x')};
    };
    path.send(warm_up_calls, make_request);
    const double entry_before = cpu_seconds(path.entry->node->pid());
    const double executor_before = cpu_seconds(path.executor->node->pid());
    path.send(count, make_request);
    constexpr double microseconds = 1e6;
    std::printf("| %d | %.0f | %.0f |\n", count,
                (cpu_seconds(path.entry->node->pid()) - entry_before) / count * microseconds,
                (cpu_seconds(path.executor->node->pid()) - executor_before) / count * microseconds);
    std::fflush(stdout);
}

std::vector<std::string> issue_keys(call_path& path, int count)
{
    std::vector<std::string> keys;
    while (static_cast<int>(keys.size()) < count) {
        const auto result =
            exchange(path.cluster.client(), path.entry->caller_port,
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
    const double executor_before = resident_megabytes(path.executor->node->pid());
    path.send(count, [&](int index) {
        return http_request{"POST",
                            "/call/alpha/x",
                            {{"Chestnut-Priority", "write"},
                             {"Idempotency-Key", keys[static_cast<std::size_t>(index)]}},
                            std::string(256, 'x')};
    });
    std::printf("| %d | %.1f | %.1f |\n", count,
                resident_megabytes(path.entry->node->pid()) - entry_before,
                resident_megabytes(path.executor->node->pid()) - executor_before);
    std::fflush(stdout);
}

void measure_marginal_costs()
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
                change_count);
    if (argc == 1) {
        for (const std::size_t nodes : {4, 12, 36}) {
            measure_idle(nodes);
        }
        measure_marginal_costs();
    }
    for (int i = 1; i < argc; ++i) {
        if (std::string{argv[i]} == "slopes") {
            measure_marginal_costs();
            continue;
        }
        measure_idle(std::strtoul(argv[i], nullptr, 10));
    }
    return EXIT_SUCCESS;
}
