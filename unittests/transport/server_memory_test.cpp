#include "raw_socket.h"

#include "chestnutstand/transport/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr std::size_t kib = 1'024;
/// Longer than a connection may go without progress while others need its memory.
constexpr milliseconds stall{1'200};

std::string head(std::size_t length)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

class server_memory : public ::testing::Test {
protected:
    void start(std::uint32_t max_connections = 0)
    {
        http_server_options options;
        options.max_body_bytes = 4'096 * kib;
        options.memory = budget_;
        options.max_connections = max_connections;
        server_ = std::make_unique<http_server>(
            options, [this](const http_request& request, const std::shared_ptr<responder>& slot) {
                ++handled_;
                if (request.target == "/large") {
                    slot->send({200, {}, std::string(large_response, 'x')});
                    return;
                }
                slot->send({200, {}, std::to_string(request.body.size())});
            });
        ASSERT_TRUE(server_->start().ok());
    }

    raw_socket connect() const { return raw_socket::connect_to(server_->port()); }

    static constexpr std::size_t large_response = 16'384 * kib;
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(memory_budget_limits{1'024 * kib, 128 * kib});
    std::atomic<int> handled_ = 0;
    std::unique_ptr<http_server> server_;
};

// Guards against a server that reads a body for which there is no memory before it refuses it.
TEST_F(server_memory, refuses_an_announced_body_without_reading_it)
{
    start();
    const auto connection = connect();
    ASSERT_TRUE(connection.send(head(2'048 * kib)));
    EXPECT_EQ(connection.receive_message().rfind("HTTP/1.1 503", 0), 0U);
    EXPECT_EQ(handled_, 0);
}

// Guards against a request that was refused for its memory and runs all the same, and against one
// that holds the memory that others need.
TEST_F(server_memory, refuses_the_request_without_progress)
{
    start();
    const auto stopped = connect();
    ASSERT_TRUE(stopped.send(head(700 * kib) + std::string(600 * kib, 'x')));
    std::this_thread::sleep_for(stall);
    const auto active = connect();
    ASSERT_TRUE(active.send(head(800 * kib) + std::string(800 * kib, 'x')));
    EXPECT_EQ(active.receive_message().rfind("HTTP/1.1 200", 0), 0U);
    EXPECT_EQ(stopped.receive_message().rfind("HTTP/1.1 503", 0), 0U);
    stopped.send(std::string(100 * kib, 'x'));
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(server_->read().closed_for_memory, 1U);
}

// Guards against small requests that are refused because large ones hold all memory.
TEST_F(server_memory, serves_small_requests_while_large_ones_hold_memory)
{
    start();
    const auto large = connect();
    ASSERT_TRUE(large.send(head(896 * kib) + std::string(895 * kib, 'x')));
    for (int i = 0; i < 10; ++i) {
        const auto small = connect();
        ASSERT_TRUE(small.send(head(32 * kib) + std::string(32 * kib, 'x')));
        EXPECT_EQ(small.receive_message().rfind("HTTP/1.1 200", 0), 0U);
    }
    ASSERT_TRUE(large.send(std::string(kib, 'x')));
    EXPECT_EQ(large.receive_message().rfind("HTTP/1.1 200", 0), 0U);
}

// Guards against memory that stays counted after requests, refusals and closed connections.
TEST_F(server_memory, gives_back_all_memory)
{
    start();
    {
        const auto complete = connect();
        ASSERT_TRUE(complete.send(head(100 * kib) + std::string(100 * kib, 'x')));
        EXPECT_EQ(complete.receive_message().rfind("HTTP/1.1 200", 0), 0U);
        const auto refused = connect();
        ASSERT_TRUE(refused.send(head(5'000 * kib)));
        EXPECT_EQ(refused.receive_message().rfind("HTTP/1.1 413", 0), 0U);
        const auto incomplete = connect();
        ASSERT_TRUE(incomplete.send(head(300 * kib) + std::string(200 * kib, 'x')));
    }
    for (int i = 0; i < 5'000 && budget_->read().held_bytes > 0; ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    EXPECT_EQ(budget_->read().held_bytes, 0U);
}

// Guards against a large body that is cut or damaged because it is sent apart from its head.
TEST_F(server_memory, sends_a_large_response_completely)
{
    start();
    const auto connection = connect();
    ASSERT_TRUE(connection.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n"));
    const std::string received = connection.receive_message();
    EXPECT_EQ(received.size() - received.find("\r\n\r\n") - 4, large_response);
    ASSERT_TRUE(connection.send(head(3) + "abc"));
    const std::string next = connection.receive_message();
    EXPECT_EQ(next.substr(next.size() - 1), "3");
}

// Guards against connections without a bound, and against a bound that keeps new callers out while
// idle connections remain open.
TEST_F(server_memory, closes_the_oldest_idle_connection_for_a_new_one)
{
    constexpr std::uint32_t max_connections = 3;
    start(max_connections);
    std::vector<raw_socket> opened;
    for (std::uint32_t i = 0; i < max_connections; ++i) {
        opened.push_back(connect());
        ASSERT_TRUE(opened.back().send(head(0)));
        EXPECT_EQ(opened.back().receive_message().rfind("HTTP/1.1 200", 0), 0U);
    }
    const auto newest = connect();
    ASSERT_TRUE(newest.send(head(0)));
    EXPECT_EQ(newest.receive_message().rfind("HTTP/1.1 200", 0), 0U);
    bool closed = false;
    opened.front().receive_all(closed);
    EXPECT_TRUE(closed);
    ASSERT_TRUE(opened.back().send(head(0)));
    EXPECT_EQ(opened.back().receive_message().rfind("HTTP/1.1 200", 0), 0U);
    EXPECT_EQ(server_->read().open_connections, max_connections);
}

} // namespace
} // namespace chestnutstand::testing
