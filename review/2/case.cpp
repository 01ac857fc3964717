// Backends spoil one byte of the Content-Length of some of their responses. Checks that no client
// gets a part of a body as a complete success.

#include "../common/stand_ins.h"

using namespace review;

namespace {

constexpr const char* service = "crate-yard";
constexpr int requests = 600;
constexpr int concurrent_clients = 6;
/// One of the two backends spoils one in this many of its responses.
constexpr int spoiled_one_in = 50;
constexpr std::size_t body_bytes = 2'026;

const char* const document = R"({
"version": 7,
"routes": [{"name": "crate-redeem", "host": "yard.example", "path_prefix": "/redeem/",
            "kind": "non_idempotent", "timeout_ms": 2000, "latency_target_ms": 150,
            "rank": 0, "service": "crate-yard", "attempts": 2}],
"services": [{"name": "crate-yard", "health_path": "/healthz", "max_connections": 220},
             {"name": "ledger-view", "health_path": "/healthz", "max_connections": 220}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
           "idle_timeout_ms": 15000}})";

std::string body_of(const std::string& request_id)
{
    std::string body = "redeemed " + request_id + " ";
    body.resize(body_bytes, '.');
    return body;
}

std::string run_request(const message& request, const connection& caller)
{
    if (!work_for(milliseconds{20}, caller)) {
        return "";
    }
    const std::string id = request.header("request-id");
    return response("200 OK", "Request-Id: " + id + "\r\nServer-Seal: 3e1b." + id + "\r\n",
                    body_of(id));
}

} // namespace

int main(int /*count*/, char** arguments)
{
    deployment system{arguments[1], arguments[2]};
    system.publish(document);
    const node_process& first = system.add(service);
    const node_process& second = system.add(service);
    const node_process& entry = system.add("ledger-view");
    std::atomic<int> sent_by_first{0};
    std::atomic<int> spoiled{0};
    const auto run_and_spoil = [&](const message& request, const connection& caller) {
        std::string bytes = run_request(request, caller);
        if (with_trouble() && !bytes.empty() && ++sent_by_first % spoiled_one_in == 0) {
            const std::size_t length = bytes.find("Content-Length: 2026");
            bytes[length + 18] = '\xb2'; // "20", a byte that is no digit, "6"
            ++spoiled;
            system.record.add("spoiled  one byte of the Content-Length of " +
                              request.header("request-id"));
        }
        return bytes;
    };
    const backend first_backend{"i-first", first, 9, system.record, run_and_spoil};
    const backend second_backend{"i-second", second, 9, system.record, run_request};
    const backend entry_backend{"i-entry", entry, 9, system.record, run_request};
    if (!system.start({{service, 2}, {"ledger-view", 1}})) {
        system.record.add("the nodes were not ready in time");
        system.end(2);
    }
    std::atomic<int> mixed{0};
    std::atomic<int> successes{0};
    const auto redeem = [&](int i) {
        const std::string id = "redeem-" + std::to_string(i);
        auto client = connect_to(entry.callers());
        const client_request request{id, "PUT", "yard.example", "/redeem/crate", 1'500, "crate"};
        message answer;
        if (!client || !client->send(request.bytes()) ||
            client->read(answer, steady::now() + milliseconds{2'000}) != read_end::complete) {
            system.record.add("answer   " + id + " none");
            return;
        }
        const bool success = answer.status() == 200;
        successes += success ? 1 : 0;
        if (success && answer.body != body_of(id)) {
            ++mixed;
        }
        if (!success || answer.body != body_of(id)) {
            system.record.add("answer   " + id + " " + answer.start_line + ", Server-Seal " +
                              answer.header("server-seal") + ", Content-Length " +
                              answer.header("content-length") + " and as many bytes of " +
                              std::to_string(body_bytes));
        }
    };
    std::vector<std::thread> clients;
    clients.reserve(concurrent_clients);
    for (int i = 0; i < concurrent_clients; ++i) {
        clients.emplace_back([&, i] {
            for (int number = i; number < requests; number += concurrent_clients) {
                redeem(number);
            }
        });
    }
    for (auto& client : clients) {
        client.join();
    }
    system.record.add("successes: " + std::to_string(successes) +
                      ", spoiled responses: " + std::to_string(spoiled) +
                      ", successes with a part of the body: " + std::to_string(mixed));
    const bool could_run = successes > requests / 2 && (!with_trouble() || spoiled > 0);
    system.end(mixed > 0 ? 1 : could_run ? 0 : 2);
}
