// The node that took requests gets SIGTERM while some of them wait in the queue of another node.
// Counts the requests that end with a closed connection and no answer, although no backend was at
// work on them.

#include "../common/stand_ins.h"

using namespace review;

namespace {

constexpr const char* service = "ledger";
constexpr int slots = 4;
constexpr int requests = 15;
constexpr int deadline_ms = 20'000;
constexpr milliseconds grace{6'000};
constexpr milliseconds work_time{2'400};

const char* const document = R"({
"version": 7,
"routes": [{"name": "dues-pay", "host": "dues.example", "path_prefix": "/pay/",
            "kind": "non_idempotent", "timeout_ms": 20000, "latency_target_ms": 8000,
            "rank": 0, "service": "ledger", "attempts": 2}],
"services": [{"name": "ledger", "health_path": "/healthz", "max_connections": 220},
             {"name": "plotbook", "health_path": "/healthz", "max_connections": 220}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
           "idle_timeout_ms": 15000}})";

std::string run_request(const message& request, const connection& caller)
{
    if (!work_for(work_time, caller)) {
        return "";
    }
    return response("200 OK",
                    "Request-Id: " + request.header("request-id") + "\r\nServer-Seal: 3e1b.07\r\n",
                    "paid");
}

struct outcome {
    read_end end = read_end::timed_out;
    int status = 0;
    double sent_ms = 0;
    double ended_ms = 0;
};

outcome pay(const node_process& entry, const std::string& id, recorder& record,
            steady::time_point start)
{
    outcome result;
    auto client = connect_to(entry.callers());
    if (!client) {
        return result;
    }
    const client_request request{id, "POST", "dues.example", "/pay/annual", deadline_ms, "dues"};
    client->send(request.bytes());
    result.sent_ms = ms_between(start, steady::now());
    record.add("send     " + id);
    message answer;
    result.end = client->read(answer, steady::now() + milliseconds{deadline_ms + 1'000});
    result.ended_ms = ms_between(start, steady::now());
    result.status = result.end == read_end::complete ? answer.status() : 0;
    record.add("answer   " + id + " " +
               (result.end == read_end::complete    ? answer.start_line
                : result.end == read_end::timed_out ? "none in time"
                                                    : "none, connection closed"));
    return result;
}

} // namespace

int main(int /*count*/, char** arguments)
{
    const auto start = steady::now();
    deployment system{arguments[1], arguments[2]};
    system.publish(document);
    const node_process& ledger = system.add(service);
    node_process& entry = system.add("plotbook");
    const backend ledger_backend{"i-ledger", ledger, slots, system.record, run_request};
    const backend entry_backend{"i-plotbook", entry, slots, system.record, run_request};
    if (!system.start({{service, 1}, {"plotbook", 1}})) {
        system.record.add("the nodes were not ready in time");
        system.end(2);
    }
    std::vector<std::thread> threads;
    threads.reserve(requests);
    // The queue learns how long the work takes.
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back(
            [&, i] { pay(entry, "first-" + std::to_string(i), system.record, start); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    threads.clear();
    std::vector<outcome> outcomes(requests);
    for (int i = 0; i < requests; ++i) {
        threads.emplace_back(
            [&, i] { outcomes[i] = pay(entry, "pay-" + std::to_string(i), system.record, start); });
        std::this_thread::sleep_for(milliseconds{20});
    }
    std::this_thread::sleep_for(milliseconds{300});
    const double signalled_ms = ms_between(start, steady::now());
    if (with_trouble()) {
        system.record.add("SIGTERM  to the node that took the requests");
        entry.signal(SIGTERM);
        if (!entry.wait(grace)) {
            entry.signal(SIGKILL);
        }
        system.record.add(
            "ended    the node, after " +
            std::to_string(static_cast<int>(ms_between(start, steady::now()) - signalled_ms)) +
            " ms");
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto runs = ledger_backend.runs();
    int lost = 0;
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
        const outcome& result = outcomes[i];
        const bool has_run = runs.count("pay-" + std::to_string(i)) > 0;
        const bool closed = result.end == read_end::closed || result.end == read_end::reset;
        // More than LossSlackS after the request, and well before its deadline.
        lost += closed && !has_run && result.ended_ms - result.sent_ms > 200 &&
                        result.ended_ms - result.sent_ms < deadline_ms / 2.0
                    ? 1
                    : 0;
        answered += result.status != 0 ? 1 : 0;
    }
    system.record.add("cut off without an answer and without a run: " + std::to_string(lost) +
                      ", answered: " + std::to_string(answered));
    system.end(lost > 0 ? 1 : answered == requests || with_trouble() ? 0 : 2);
}
