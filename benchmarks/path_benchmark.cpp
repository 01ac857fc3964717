// Measures the latency that the path caller -> node A -> node B -> upstream adds to a direct call
// to the same upstream. Both kinds of call alternate in one run, at fixed rates.

#include "../tests/support/fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace chestnutstand;
using namespace chestnutstand::testing;

namespace {

constexpr std::array rates_per_s{100, 500, 1'000, 2'000, 4'000};
constexpr double seconds_per_rate = 5.0;
constexpr double warm_up_s = 1.0;
constexpr double idle_s = 5.0;
constexpr milliseconds call_timeout{5'000};
constexpr std::size_t body_bytes = 256;

/// Latencies of the calls over one path, in milliseconds. Thread-safe.
class latency_samples {
public:
    void add(const http_result& result, milliseconds latency)
    {
        const std::lock_guard lock{mutex_};
        const bool succeeded = result.error == http_error::none && result.response.status == 200;
        if (!succeeded) {
            ++failed_;
            return;
        }
        latencies_.push_back(latency.count());
    }

    double quantile(double q)
    {
        const std::lock_guard lock{mutex_};
        std::sort(latencies_.begin(), latencies_.end());
        if (latencies_.empty()) {
            return 0.0;
        }
        return latencies_[static_cast<std::size_t>(q * static_cast<double>(latencies_.size() - 1))];
    }

    std::size_t count()
    {
        const std::lock_guard lock{mutex_};
        return latencies_.size() + failed_;
    }

    std::size_t failed()
    {
        const std::lock_guard lock{mutex_};
        return failed_;
    }

private:
    std::mutex mutex_;
    std::vector<double> latencies_;
    std::size_t failed_ = 0;
};

void send_call(http_client& client, std::uint16_t port, const std::string& target,
               latency_samples& samples)
{
    const time_point begin = ms_clock::now();
    client.send("http://127.0.0.1:" + std::to_string(port),
                {"POST", target, {}, std::string(body_bytes, 'x'), false}, call_timeout,
                [&samples, begin](const http_result& result) {
                    samples.add(result, ms_clock::now() - begin);
                });
}

/// Alternates calls through the nodes and direct calls, each kind at `rate` calls per second.
void run_rate(http_client& path_client, http_client& direct_client, const fleet_member& entry,
              std::uint16_t upstream_port, int rate, double seconds, latency_samples& path,
              latency_samples& direct)
{
    const auto calls = static_cast<std::size_t>(rate * seconds);
    const milliseconds interval{1000.0 / rate / 2.0};
    time_point due = ms_clock::now();
    const auto wait_until_due = [&] {
        due += interval;
        while (ms_clock::now() < due) {
            std::this_thread::sleep_for(std::min(due - ms_clock::now(), milliseconds{0.2}));
        }
    };
    for (std::size_t i = 0; i < calls; ++i) {
        send_call(path_client, entry.caller_port, "/call/alpha/x", path);
        wait_until_due();
        send_call(direct_client, upstream_port, "/x", direct);
        wait_until_due();
    }
    eventually([&] { return path.count() >= calls && direct.count() >= calls; });
}

double cpu_seconds(pid_t pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text;
    std::getline(file, text);
    // Skips the name in parentheses, which may contain spaces; utime and stime are fields 14
    // and 15.
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string resident_memory(pid_t pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return line.substr(line.find_first_of("0123456789"));
        }
    }
    return "unknown";
}

void print_idle(const std::vector<pid_t>& nodes)
{
    std::vector<double> before;
    before.reserve(nodes.size());
    for (const pid_t pid : nodes) {
        before.push_back(cpu_seconds(pid));
    }
    std::this_thread::sleep_for(milliseconds{idle_s * 1000.0});
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        std::printf("node %zu: resident %s, idle CPU %.2f%% of a core\n", i,
                    resident_memory(nodes[i]).c_str(),
                    (cpu_seconds(nodes[i]) - before[i]) / idle_s * 100.0);
    }
}

} // namespace

int main()
{
    fleet cluster;
    cluster.extra_settings()["log_level"] = "info";
    auto& entry = cluster.add("east", "");
    auto& executor = cluster.add("west", "alpha", {"--slots", "200"});
    const auto response = cluster.publish(entry, "platform", "main", 0,
                                          section_content("platform", {"alpha"}), "change-1");
    if (!response.is_object() || !response.value("accepted", false) ||
        !cluster.wait_until_ready(1)) {
        std::fprintf(stderr, "nodes did not become ready\n");
        return EXIT_FAILURE;
    }
    // Uses one client per kind of call, so that the slower kind does not delay the other.
    const auto direct_client = make_http_client();
    const std::vector<pid_t> nodes{entry.node->pid(), executor.node->pid()};
    print_idle(nodes);
    std::printf(
        "| calls/s | direct p50 | direct p99 | path p50 | path p99 | added p50 | added p99 |"
        " failed |\n");
    std::printf(
        "| ------- | ---------- | ---------- | -------- | -------- | --------- | --------- |"
        " ------ |\n");
    for (const int rate : rates_per_s) {
        latency_samples warm_up_path;
        latency_samples warm_up_direct;
        run_rate(cluster.client(), *direct_client, entry, executor.upstream_port, rate, warm_up_s,
                 warm_up_path, warm_up_direct);
        latency_samples path;
        latency_samples direct;
        run_rate(cluster.client(), *direct_client, entry, executor.upstream_port, rate,
                 seconds_per_rate, path, direct);
        const double direct_50 = direct.quantile(0.5);
        const double direct_99 = direct.quantile(0.99);
        const double path_50 = path.quantile(0.5);
        const double path_99 = path.quantile(0.99);
        std::printf("| %7d | %10.3f | %10.3f | %8.3f | %8.3f | %9.3f | %9.3f | %6zu |\n", rate,
                    direct_50, direct_99, path_50, path_99, path_50 - direct_50,
                    path_99 - direct_99, path.failed() + direct.failed());
        std::fflush(stdout);
    }
    for (const auto& member : cluster.members()) {
        if (!member->node->running()) {
            std::fprintf(stderr, "node exited with status %d\n", member->node->wait());
            return EXIT_FAILURE;
        }
    }
    print_idle(nodes);
    return EXIT_SUCCESS;
}
