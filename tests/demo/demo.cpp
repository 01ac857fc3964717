// Starts nodes and stub upstreams on loopback, sends calls through the nodes and prints the
// responses. Exits after a fixed number of calls.

#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace chestnutstand;
using namespace chestnutstand::testing;

namespace {

constexpr int rounds = 20;
constexpr milliseconds pause_between_calls{250};
constexpr std::size_t node_count = 6;

// Set by SIGINT. The child processes end when this process does.
std::atomic<bool> stop_requested = false;

std::string header_text(const http_result& result, std::string_view name)
{
    return std::string{find_header(result.response.headers, name).value_or("-")};
}

void print_call(fleet& demo_fleet, const fleet_member& member, const std::string& service,
                int account)
{
    const auto result =
        exchange(demo_fleet.client(), member.caller_port,
                 {"GET", "/call/" + service + "/balance/" + std::to_string(account), {}, ""});
    std::printf("%-9s -> %-11s status %d, outcome %s, %.2f ms\n", member.data_centre.c_str(),
                service.c_str(), result.response.status,
                header_text(result, header::outcome).c_str(), result.elapsed.count());
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::signal(SIGINT, [](int) { stop_requested = true; });
    fleet demo_fleet;
    for (const char* data_centre : {"howrah", "garia"}) {
        for (const char* service : {"ledger-view", "refund-desk", "crate-yard"}) {
            demo_fleet.add(data_centre, service);
        }
    }
    demo_fleet.publish(*demo_fleet.members().front(), "platform", "main", 0,
                       section_content("platform", {"ledger-view", "refund-desk", "crate-yard"}),
                       "demo-1");
    if (!demo_fleet.wait_until_ready(node_count)) {
        std::fprintf(stderr, "the nodes did not become ready\n");
        return EXIT_FAILURE;
    }
    std::printf("%zu nodes with one upstream each; caller port of the first: %d, admin port: %d\n",
                node_count, demo_fleet.members().front()->caller_port,
                demo_fleet.members().front()->admin_port);
    const char* services[] = {"ledger-view", "refund-desk", "crate-yard"};
    for (int i = 0; i < rounds && !stop_requested; ++i) {
        print_call(demo_fleet, *demo_fleet.members()[static_cast<std::size_t>(i) % node_count],
                   services[i % 3], i);
        std::this_thread::sleep_for(pause_between_calls);
    }
    return EXIT_SUCCESS;
}
