// A node that has acknowledged that its upstream left is killed and started
// again while the platform's store is busy, and gets a heartbeat that the
// upstream had sent before it left.

#include "../standins-2/deployment.h"

#include <algorithm>
#include <atomic>

using namespace review;

namespace {

constexpr double drain_s = 2.0;
constexpr double restart_delay_s = 0.5;
/// Time from the late heartbeat to the return of the store.
constexpr double busy_after_heartbeat_s = 0.3;
constexpr double watch_s = 10.0;
constexpr int clients = 4;
constexpr double deliver_limit_s = 5.0;

const char* const document_head =
    R"({"version":1,"routes":[{"name":"balance","host":"balance.example",)"
    R"("path_prefix":"/balance/","kind":"idempotent","timeout_ms":1200,"latency_target_ms":600,)"
    R"("rank":1,"service":"plotbook","attempts":2}],"services":[{"name":"plotbook",)"
    R"("health_path":"/healthz","max_connections":220},{"name":"ledger",)"
    R"("health_path":"/healthz","max_connections":220}],)";

void run_client(deployment& played, const machine& entry, std::atomic<bool>& stop)
{
    while (!stop) {
        const request balance{"GET",
                              "/balance/plot",
                              {{"Host", "balance.example"},
                               {"Request-Id", played.next_request_id()},
                               {"Deadline-Ms", "2500"}},
                              ""};
        played.ask(entry, balance, 3.0);
        sleep_s(0.02);
    }
}

/// Delivers the heartbeat as soon as the machine takes connections again.
bool deliver(deployment& played, const machine& left, const request& heartbeat)
{
    const double limit_s = played.log().now_s() + deliver_limit_s;
    while (played.log().now_s() < limit_s) {
        const answer received =
            exchange(left.address(), played.ports().registration, heartbeat, 1.0);
        if (received.status != 0) {
            played.log().line("the late heartbeat arrives: " + std::to_string(received.status));
            return true;
        }
        sleep_s(0.01);
    }
    return false;
}

} // namespace

int main(int /*argc*/, char** argv)
{
    deployment played{argv[1]};
    for (const char* service : {"plotbook", "ledger"}) {
        for (const char* zone : {"brazos-a", "brazos-b", "brazos-c"}) {
            played.add(zone, {service});
        }
    }
    played.configure(std::string{document_head} + document_limits + "}");
    if (!played.start()) {
        return exit_not_run;
    }
    machine& left = *played.machines()[0];
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int i = 0; i < clients; ++i) {
        const machine& entry = *played.machines()[3 + static_cast<std::size_t>(i) % 3];
        threads.emplace_back([&] { run_client(played, entry, stop); });
    }
    sleep_s(2.0);
    const request late = left.heartbeat();
    if (!left.leave()) {
        return exit_not_run;
    }
    const double acknowledged_s = played.log().now_s();
    played.log().line("the node of " + left.address() +
                      " acknowledged that its upstream leaves; a heartbeat sent "
                      "before is late");
    double calm_s = played.log().now_s();
    if (with_trouble()) {
        played.set_store_busy(true);
        left.kill_node();
        sleep_s(restart_delay_s);
        left.start_node();
        played.log().line("its node was killed and is started again");
    }
    const bool delivered = deliver(played, left, late);
    if (with_trouble()) {
        sleep_s(busy_after_heartbeat_s);
        played.set_store_busy(false);
        calm_s = played.log().now_s();
    }
    sleep_s(watch_s);
    stop = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const double counted_from_s = std::max(acknowledged_s + drain_s, calm_s + stable_window_s);
    int late_runs = 0;
    for (const run& seen : played.runs()) {
        if (seen.address == left.address() && seen.at_s > acknowledged_s + drain_s) {
            const bool counts = seen.at_s > counted_from_s;
            late_runs += counts ? 1 : 0;
            played.log().line("upstream of " + seen.address + " ran " +
                              header_of(seen.asked.fields, "Request-Id") + " at " +
                              std::to_string(seen.at_s) + (counts ? "" : " (not counted)"));
        }
    }
    played.log().line(std::to_string(late_runs) +
                      " requests reached the upstream later than DrainS after "
                      "the acknowledgement, "
                      "with all machines in touch");
    if (!delivered) {
        return exit_not_run;
    }
    return late_runs > 0 ? exit_broken : exit_held;
}
