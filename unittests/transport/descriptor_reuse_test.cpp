#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/transport/http_server.h"

#include "raw_socket.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::raw_socket;

constexpr int client_threads = 8;
constexpr int connections_per_thread = 1'500;
constexpr int responder_threads = 4;

struct client_counts {
    std::atomic<int> answered = 0;
    std::atomic<int> foreign = 0;
    std::atomic<int> missing = 0;
};

/// One short connection; half of them are closed while their response is on its way.
void run_connection(std::uint16_t port, const std::string& name, std::minstd_rand& random,
                    client_counts& counts)
{
    auto client = raw_socket::connect_to(port);
    client.send("GET /" + name + " HTTP/1.1\r\nHost: x\r\n\r\n");
    if (random() % 2 == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds{random() % 400});
        if (random() % 2 == 0) {
            client.reset();
        }
        return;
    }
    const auto received = client.receive_message();
    const auto body = received.find("\r\n\r\n");
    if (body == std::string::npos) {
        ++counts.missing;
    }
    else if (received.substr(body + 4, name.size() + 1) != "/" + name) {
        ++counts.foreign;
    }
    else {
        ++counts.answered;
    }
}

// Guards against a late response that reaches the new connection to which the kernel gave the
// descriptor of the closed one.
TEST(http_server_descriptors, a_client_only_gets_the_response_to_its_own_request)
{
    http_server_options options;
    options.threads = 2;
    std::array<control_loop, responder_threads> late;
    std::atomic<unsigned> next = 0;
    http_server server{
        options, [&](const http_request& request, const std::shared_ptr<responder>& to) {
            const unsigned turn = next++;
            late.at(turn % responder_threads)
                .post_after(milliseconds{(turn % 7) * 0.1}, [to, target = request.target + "#"] {
                    // Large enough to need more than one write at times.
                    to->send({200, {}, target + std::string(5'000, '.')});
                });
        }};
    ASSERT_TRUE(server.start().ok());
    client_counts counts;
    std::vector<std::thread> clients;
    clients.reserve(client_threads);
    for (int thread = 0; thread < client_threads; ++thread) {
        clients.emplace_back([&, thread] {
            std::minstd_rand random(static_cast<unsigned>(thread) + 1);
            for (int i = 0; i < connections_per_thread; ++i) {
                run_connection(server.port(), std::to_string(thread) + "-" + std::to_string(i),
                               random, counts);
            }
        });
    }
    for (auto& each : clients) {
        each.join();
    }
    for (auto& each : late) {
        each.stop();
    }
    EXPECT_EQ(counts.foreign, 0);
    EXPECT_EQ(counts.missing, 0);
    EXPECT_GT(counts.answered, 0);
}

} // namespace
} // namespace chestnutstand
