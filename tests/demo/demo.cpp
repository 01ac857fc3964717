// Runs the whole path with stand-ins on loopback and shows calls being answered. Ends by itself.

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

// Set by SIGINT; the children end with this process.
std::atomic<bool> interrupted = false;

std::string text_of(const http_result& result, std::string_view name)
{
    return std::string{find_header(result.response.headers, name).value_or("-")};
}

void show_call(fleet& all, const fleet_member& entry, const std::string& service, int number)
{
    const auto result =
        exchange(all.client(), entry.caller_port,
                 {"GET", "/call/" + service + "/balance/" + std::to_string(number), {}, ""});
    std::printf("%-9s -> %-11s status %d, outcome %s, %.2f ms\n", entry.data_centre.c_str(),
                service.c_str(), result.response.status, text_of(result, header::outcome).c_str(),
                result.elapsed.count());
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::signal(SIGINT, [](int) { interrupted = true; });
    fleet all;
    for (const char* data_centre : {"howrah", "garia"}) {
        for (const char* service : {"ledger-view", "refund-desk", "crate-yard"}) {
            all.add(data_centre, service);
        }
    }
    all.publish(*all.members().front(), "platform", "main", 0,
                section_content("platform", {"ledger-view", "refund-desk", "crate-yard"}),
                "demo-1");
    if (!all.wait_until_ready(node_count)) {
        std::fprintf(stderr, "the nodes did not find each other\n");
        return EXIT_FAILURE;
    }
    std::printf("%zu nodes with one upstream each; caller port of the first: %d, admin port: %d\n",
                node_count, all.members().front()->caller_port, all.members().front()->admin_port);
    const char* services[] = {"ledger-view", "refund-desk", "crate-yard"};
    for (int i = 0; i < rounds && !interrupted; ++i) {
        show_call(all, *all.members()[static_cast<std::size_t>(i) % node_count], services[i % 3],
                  i);
        std::this_thread::sleep_for(pause_between_calls);
    }
    return EXIT_SUCCESS;
}
