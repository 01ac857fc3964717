// Compares the two transports of calls between nodes for an echo of 1 KB: unary gRPC calls with the
// callback API, and HTTP/1.1 with Pistache and libcurl. Client and server run in one process and
// communicate over loopback.

#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/http_server.h"
#include "chestnutstand/transport/node_server.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

using namespace chestnutstand;

namespace {

constexpr std::size_t body_bytes = 1'024;
constexpr int warm_up_calls = 500;
constexpr int measured_calls = 4'000;
constexpr int rounds = 3;
constexpr milliseconds call_timeout{10'000};
constexpr std::uint64_t instance = 1;

class echo_handler final : public node_handler {
public:
    void execute(std::uint64_t, service_call call, call_done done) override
    {
        done({call_outcome::completed,
              reason_code::none,
              {200, {}, std::move(call.request.body)},
              {}});
    }
    void forward(std::uint64_t, service_call, bool, call_done done) override
    {
        done(not_run(reason_code::stale_key));
    }
    absl::StatusOr<settle_result> settle(std::uint64_t, const std::string&) override
    {
        return settle_result{};
    }
    load_report probe() override { return {}; }
    void fetch_changes(const fetch_request& /*request*/, peer_client::changes_done done) override
    {
        done(fetched_changes{});
    }
    void sync_members(std::vector<std::string> members, peer_client::members_done done) override
    {
        done(std::move(members));
    }
};

/// Starts one echo call; the callback gets whether it succeeded.
using start_echo = std::function<void(std::function<void(bool)>)>;

/// Runs calls with a given concurrency and records their latencies in milliseconds.
class load_run {
public:
    load_run(start_echo start, int calls, int concurrency)
        : start_{std::move(start)}, remaining_{calls}, running_{concurrency}
    {
    }

    std::vector<double> run()
    {
        const int concurrency = running_;
        for (int i = 0; i < concurrency; ++i) {
            start_next();
        }
        std::unique_lock lock{mutex_};
        finished_.wait(lock, [&] { return running_ == 0; });
        std::sort(latencies_.begin(), latencies_.end());
        return std::move(latencies_);
    }

private:
    void start_next()
    {
        {
            const std::lock_guard lock{mutex_};
            if (remaining_ == 0) {
                --running_;
                finished_.notify_all();
                return;
            }
            --remaining_;
        }
        const time_point begin = ms_clock::now();
        start_([this, begin](bool success) {
            if (!success) {
                std::fprintf(stderr, "echo call failed\n");
                std::abort();
            }
            {
                const std::lock_guard lock{mutex_};
                latencies_.push_back((ms_clock::now() - begin).count());
            }
            start_next();
        });
    }

    start_echo start_;
    std::mutex mutex_;
    std::condition_variable finished_;
    int remaining_;
    int running_;
    std::vector<double> latencies_;
};

void measure(const char* carrier, const start_echo& start, int concurrency)
{
    load_run{start, warm_up_calls, concurrency}.run();
    const time_point begin = ms_clock::now();
    const auto sorted = load_run{start, measured_calls, concurrency}.run();
    const double seconds = (ms_clock::now() - begin).count() / 1000.0;
    std::printf("| %-8s | %10d | %8.3f | %8.3f | %9.0f |\n", carrier, concurrency,
                sorted[sorted.size() / 2], sorted[sorted.size() * 99 / 100],
                measured_calls / seconds);
}

} // namespace

int main()
{
    echo_handler handler;
    node_server grpc_server{"127.0.0.1", 0, handler};
    http_server_options options;
    options.threads = 2;
    http_server server{options,
                       [](http_request request, const std::shared_ptr<responder>& response) {
                           response->send({200, {}, std::move(request.body)});
                       }};
    if (!grpc_server.start().ok() || !server.start().ok()) {
        return EXIT_FAILURE;
    }
    const auto peers = make_grpc_peer_client();
    const auto client = make_http_client();
    const node_reference target{instance, "127.0.0.1", grpc_server.port()};
    const std::string url = "http://127.0.0.1:" + std::to_string(server.port());
    const std::string body(body_bytes, 'x');

    const start_echo echo_by_grpc = [&](const std::function<void(bool)>& done) {
        service_call call;
        call.service = "echo";
        call.deadline = ms_clock::now() + call_timeout;
        call.request = {"POST", "/", {}, body, false};
        peers->execute(target, call, [done](const call_result& result) {
            done(result.response.body.size() == body_bytes);
        });
    };
    const start_echo echo_by_http = [&](const std::function<void(bool)>& done) {
        client->send(
            url, {"POST", "/", {}, body, false}, call_timeout,
            [done](const http_result& result) { done(result.response.body.size() == body_bytes); });
    };
    std::printf("| carrier  | concurrent |  p50, ms |  p99, ms | calls per s |\n");
    std::printf("| -------- | ---------- | -------- | -------- | ----------- |\n");
    for (int round = 0; round < rounds; ++round) {
        for (const int concurrency : {1, 32}) {
            measure("gRPC", echo_by_grpc, concurrency);
            measure("HTTP/1.1", echo_by_http, concurrency);
        }
    }
    server.stop();
    grpc_server.stop(milliseconds{0});
    return EXIT_SUCCESS;
}
