#include "raw_socket.h"

#include "chestnutstand/transport/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
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
                if (request.target == "/slow") {
                    const std::lock_guard lock{mutex_};
                    running_.push_back(slot);
                    return;
                }
                if (request.target == "/large") {
                    slot->send({200, {}, std::string(large_response, 'x')});
                    return;
                }
                slot->send({200, {}, std::to_string(request.body.size())});
            });
        ASSERT_TRUE(server_->start().ok());
    }

    raw_socket connect() const { return raw_socket::connect_to(server_->port()); }

    /// Waits until this number of requests to /slow run.
    void wait_for_running(std::size_t count)
    {
        for (int i = 0; i < 5'000; ++i) {
            {
                const std::lock_guard lock{mutex_};
                if (running_.size() == count) {
                    return;
                }
            }
            std::this_thread::sleep_for(milliseconds{1});
        }
        FAIL() << "the requests do not run";
    }

    /// Waits until connections hold this many bytes.
    void wait_for_held(std::size_t bytes) const
    {
        for (int i = 0; i < 5'000 && budget_->read().held_bytes < bytes; ++i) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        ASSERT_GE(budget_->read().held_bytes, bytes);
    }

    /// Sends the response to the requests that run.
    void finish_running()
    {
        const std::lock_guard lock{mutex_};
        for (const auto& slot : std::exchange(running_, {})) {
            slot->send({200, {}, "slow"});
        }
    }

    static constexpr std::size_t large_response = 16'384 * kib;
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(memory_budget_limits{1'024 * kib, 128 * kib});
    std::atomic<int> handled_ = 0;
    std::mutex mutex_;
    std::vector<std::shared_ptr<responder>> running_;
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

constexpr const char* slow_request = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against closing the connection of a client that waits for its response, with the next
// request sent behind it, because two uploads do not fit into the memory (review/6).
TEST_F(server_memory, client_that_waits_keeps_its_connection)
{
    start();
    const auto waiting = connect();
    ASSERT_TRUE(waiting.send(slow_request + head(6 * kib) + std::string(6 * kib, 'q')));
    wait_for_running(1);
    std::this_thread::sleep_for(stall);
    // Both are admitted before either holds memory.
    const auto first = connect();
    const auto second = connect();
    ASSERT_TRUE(first.send(head(800 * kib) + std::string(kib, 'x')));
    ASSERT_TRUE(second.send(head(700 * kib) + std::string(kib, 'x')));
    wait_for_held(2 * kib + 6 * kib);
    ASSERT_TRUE(first.send(std::string(699 * kib, 'x')));
    wait_for_held(700 * kib);
    ASSERT_TRUE(second.send(std::string(499 * kib, 'x')));
    EXPECT_EQ(second.receive_message().rfind("HTTP/1.1 503", 0), 0U);
    ASSERT_TRUE(first.send(std::string(100 * kib, 'x')));
    EXPECT_EQ(first.receive_message().rfind("HTTP/1.1 200", 0), 0U);
    finish_running();
    const std::string answers = waiting.receive_until_text("\r\n\r\n6144");
    EXPECT_NE(answers.find("slow"), std::string::npos) << answers;
    EXPECT_NE(answers.find("\r\n\r\n6144"), std::string::npos) << answers;
}

// Guards against a call that is given up because its client has sent a large request behind it,
// which holds the memory that others need, and against running that request although it was
// dropped.
TEST_F(server_memory, drops_input_behind_a_request_in_progress_and_answers_that)
{
    start();
    const auto waiting = connect();
    ASSERT_TRUE(waiting.send(slow_request + head(880 * kib) + std::string(870 * kib, 'q')));
    wait_for_running(1);
    wait_for_held(870 * kib);
    std::vector<raw_socket> small;
    for (int i = 0; i < 8; ++i) {
        small.push_back(connect());
        ASSERT_TRUE(small.back().send(head(60 * kib) + std::string(50 * kib, 'x')));
    }
    for (const auto& each : small) {
        ASSERT_TRUE(each.send(std::string(10 * kib, 'x')));
        EXPECT_EQ(each.receive_message().rfind("HTTP/1.1 200", 0), 0U);
    }
    const int handled = handled_;
    finish_running();
    const std::string answer = waiting.receive_message();
    EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    waiting.send(std::string(10 * kib, 'q'));
    bool closed = false;
    waiting.receive_all(closed);
    EXPECT_TRUE(closed);
    EXPECT_EQ(handled_, handled);
}

// Guards against small requests that are refused because large ones hold all memory.
TEST_F(server_memory, serves_small_requests_while_large_ones_hold_memory)
{
    start();
    const auto large = connect();
    ASSERT_TRUE(large.send(head(896 * kib) + std::string(895 * kib, 'x')));
    wait_for_held(895 * kib);
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
