// Clients that pipeline idempotent requests whose heads are large. The platform ends a node that
// exceeds the memory of its machine and starts it again.

#include "../standins-2/memory_watch.h"

#include <atomic>

using namespace review;

namespace {

/// With the rest of the head, less than the 16,384 bytes of the document.
constexpr std::size_t cookie_bytes = 14'000;
constexpr int pipelined_requests = 16;
constexpr int clients_per_entry = 300;
constexpr double work_s = 0.22;
constexpr double play_s = 60.0;
/// Ends of a machine's process, and machines with that many, from which the rule counts the day.
constexpr int ends_that_count = 3;
constexpr int machines_that_count = 2;

const char* const document_head =
    R"({"version":1,"routes":[{"name":"balance","host":"balance.example",)"
    R"("path_prefix":"/balance/","kind":"idempotent","timeout_ms":1200,"latency_target_ms":600,)"
    R"("rank":1,"service":"plotbook","attempts":2}],"services":[{"name":"plotbook",)"
    R"("health_path":"/healthz","max_connections":220},{"name":"ledger",)"
    R"("health_path":"/healthz","max_connections":220}],)";

/// Sends some requests at once and reads their answers, again and again.
void run_client(deployment& played, const machine& entry, std::atomic<bool>& stop,
                std::atomic<int>& answered, std::atomic<int>& served)
{
    const int requests_in_a_row = with_trouble() ? pipelined_requests : 1;
    while (!stop) {
        connection used{entry.address(), played.ports().callers, 3.0};
        bool kept = used.open();
        while (kept && !stop) {
            std::string bytes;
            for (int i = 0; i < requests_in_a_row; ++i) {
                request balance{"GET",
                                "/balance/token",
                                {{"Host", "balance.example"},
                                 {"Request-Id", played.next_request_id()},
                                 {"Deadline-Ms", "2500"}},
                                ""};
                balance.fields.emplace_back("Cookie", std::string(cookie_bytes, 'c'));
                bytes += to_bytes(balance);
            }
            kept = used.send(bytes);
            for (int i = 0; kept && i < requests_in_a_row; ++i) {
                const answer received = used.read_answer();
                kept = received.status != 0;
                answered += kept ? 1 : 0;
                served += received.status == 200 ? 1 : 0;
            }
        }
        sleep_s(0.2);
    }
}

} // namespace

int main(int /*argc*/, char** argv)
{
    deployment played{argv[1]};
    for (const char* service : {"plotbook", "ledger"}) {
        for (const char* zone : {"brazos-a", "brazos-b"}) {
            upstream_options options{service};
            options.slots = 12;
            options.work_s = [](const request&) { return work_s; };
            options.keeps_runs = false;
            played.add(zone, options);
        }
    }
    played.configure(std::string{document_head} + document_limits + "}");
    if (!played.start()) {
        return exit_not_run;
    }
    memory_watch platform{played};
    std::atomic<bool> stop = false;
    std::atomic<int> answered = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 2 * clients_per_entry; ++i) {
        const machine& entry = *played.machines()[2 + static_cast<std::size_t>(i) % 2];
        threads.emplace_back([&] { run_client(played, entry, stop, answered, served); });
    }
    const double end_s = played.log().now_s() + play_s;
    while (played.log().now_s() < end_s &&
           platform.machines_with(ends_that_count) < machines_that_count) {
        platform.enforce("answers: " + std::to_string(answered) +
                         ", with 200: " + std::to_string(served));
        sleep_s(0.01);
    }
    stop = true;
    for (auto& thread : threads) {
        thread.join();
    }
    platform.summarize();
    if (answered == 0) {
        return exit_not_run;
    }
    return platform.machines_with(ends_that_count) >= machines_that_count ? exit_broken : exit_held;
}
