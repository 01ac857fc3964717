#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_server.h"

#include "invalid_fields.h"
#include "raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::raw_socket;

/// Server that records requests and returns the target, or holds the responders for the test.
class http_server_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        options_.request_timeout = milliseconds{300};
        start();
    }

    void start()
    {
        server_ = std::make_unique<http_server>(
            options_,
            [this](const http_request& request, const std::shared_ptr<responder>& response) {
                ++handled_;
                {
                    const std::lock_guard lock{mutex_};
                    requests_.push_back(request);
                    if (hold_responses_) {
                        held_responders_.push_back(response);
                        return;
                    }
                }
                response->send({200, {{"Set-Cookie", "a"}, {"Set-Cookie", "b"}}, request.target});
            });
        ASSERT_TRUE(server_->start().ok());
    }

    raw_socket connect() { return raw_socket::connect_to(server_->port()); }

    /// Sends bytes after which the server must close the connection, and returns the response.
    std::string response_until_close(const std::string& bytes)
    {
        const auto client = connect();
        client.send(bytes);
        bool closed = false;
        auto received = client.receive_all(closed);
        EXPECT_TRUE(closed) << bytes.substr(0, 80);
        return received;
    }

    std::vector<std::shared_ptr<responder>> wait_for_pending_responders(std::size_t count)
    {
        for (int i = 0; i < 10'000; ++i) {
            {
                const std::lock_guard lock{mutex_};
                if (held_responders_.size() >= count) {
                    return held_responders_;
                }
            }
            std::this_thread::sleep_for(milliseconds{1});
        }
        return {};
    }

    http_server_options options_;
    std::atomic<int> handled_ = 0;
    std::mutex mutex_;
    bool hold_responses_ = false;
    std::vector<http_request> requests_;
    std::vector<std::shared_ptr<responder>> held_responders_;
    std::unique_ptr<http_server> server_;
};

// Guards against a thread that is busy with writing, or blocked, while a client reads its response
// slowly, and against a response that is cut off when the client has not read for a while.
TEST_F(http_server_test, slow_reader_delays_no_other_client)
{
    constexpr std::size_t large = std::size_t{16} << 20U;
    options_.request_timeout = milliseconds{10'000};
    start();
    hold_responses_ = true;
    const auto slow = connect();
    slow.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto held = wait_for_pending_responders(1);
    ASSERT_EQ(held.size(), 1U);
    hold_responses_ = false;
    held[0]->send({200, {}, std::string(large, 'x')});
    for (int i = 0; i < 3; ++i) {
        const auto other = connect();
        other.send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_NE(other.receive_until_text("/other").find("200"), std::string::npos);
    }
    const auto received = slow.receive_message();
    EXPECT_EQ(received.size() - received.find("\r\n\r\n") - 4, large);
    slow.send("GET /again HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(slow.receive_until_text("/again").find("200"), std::string::npos);
}

// Guards against a process that takes the server to be idle and ends while a response is written.
TEST_F(http_server_test, is_idle_only_when_all_responses_are_written)
{
    constexpr std::size_t large = std::size_t{16} << 20U;
    start();
    EXPECT_TRUE(server_->idle());
    hold_responses_ = true;
    const auto client = connect();
    client.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto held = wait_for_pending_responders(1);
    ASSERT_EQ(held.size(), 1U);
    EXPECT_FALSE(server_->idle());
    held[0]->send({200, {}, std::string(large, 'x')});
    std::this_thread::sleep_for(milliseconds{100});
    EXPECT_FALSE(server_->idle());
    client.receive_message();
    const auto becomes_idle = [this] {
        for (int i = 0; i < 10'000 && !server_->idle(); ++i) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        return server_->idle();
    };
    EXPECT_TRUE(becomes_idle());
    auto leaving = connect();
    leaving.send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_EQ(wait_for_pending_responders(2).size(), 2U);
    leaving.close();
    EXPECT_TRUE(becomes_idle());
}

// Guards against the loss of a request that arrives in one segment with another.
TEST_F(http_server_test, answers_pipelined_requests_in_order)
{
    const auto client = connect();
    client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto received = client.receive_until_text("/3");
    EXPECT_LT(received.find("/1"), received.find("/2"));
    EXPECT_LT(received.find("/2"), received.find("/3"));
    ASSERT_EQ(requests_.size(), 3U);
    EXPECT_EQ(requests_[1].body, "abc");
}

// Guards against two concurrent requests of one connection, whose responses could be swapped.
TEST_F(http_server_test, handles_one_request_of_a_connection_at_a_time)
{
    hold_responses_ = true;
    const auto client = connect();
    client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto held = wait_for_pending_responders(1);
    ASSERT_EQ(held.size(), 1U);
    std::this_thread::sleep_for(milliseconds{50});
    EXPECT_EQ(handled_, 1);
    held[0]->send({200, {}, "first"});
    const auto both = wait_for_pending_responders(2);
    ASSERT_EQ(both.size(), 2U);
    both[1]->send({200, {}, "second"});
    const auto received = client.receive_until_text("second");
    EXPECT_LT(received.find("first"), received.find("second"));
}

// Guards against a target or headers that are changed before they reach the upstream.
TEST_F(http_server_test, keeps_target_and_headers_as_sent)
{
    const auto client = connect();
    client.send("GET /p%20q?z=1&a=2&z=3&& HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a:2\r\n"
                "Content-Type: no-such-type\r\nDate: yesterday\r\n\r\n");
    const auto received = client.receive_message();
    EXPECT_EQ(received.rfind("HTTP/1.1 200 OK\r\n", 0), 0U) << received;
    EXPECT_NE(received.find("Set-Cookie: a\r\nSet-Cookie: b\r\n"), std::string::npos);
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_EQ(requests_[0].target, "/p%20q?z=1&a=2&z=3&&");
    ASSERT_EQ(requests_[0].headers.size(), 5U);
    EXPECT_EQ(requests_[0].headers[1].value, "1");
    EXPECT_EQ(requests_[0].headers[2].value, "2");
    EXPECT_EQ(requests_[0].headers[3].value, "no-such-type");
}

struct refused_input {
    std::string bytes;
    int status;
};

// Guards against requests and responses that are read by different grammars.
TEST_F(http_server_test, refuses_the_fields_that_the_client_refuses)
{
    for (const std::string& fields : chestnutstand::testing::invalid_fields) {
        const auto received =
            response_until_close("POST /x HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n\r\n0123456789");
        EXPECT_EQ(received.rfind("HTTP/1.1 400 ", 0), 0U) << fields << received;
    }
    EXPECT_EQ(handled_, 0);
}

// Guards against malformed requests that reach the handler or are refused with a wrong status.
TEST_F(http_server_test, refuses_malformed_requests_and_closes)
{
    const std::string start = "POST /x HTTP/1.1\r\nHost: x\r\n";
    const std::vector<refused_input> inputs{
        {start + "Content-Length: -1\r\n\r\n", 400},
        {start + "Content-Length: abc\r\n\r\n", 400},
        {start + "Content-Length: 1 1\r\n\r\n", 400},
        {start + "Content-Length: +1\r\n\r\na", 400},
        {start + "Content-Length:\r\n\r\n", 400},
        {start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
        {start + "Content-Length: 1\r\ncontent-length: 2\r\n\r\nab", 400},
        {start + "Content-Length: 1, 1\r\n\r\na", 400},
        {start + "Content-Length: 99999999999999999999999\r\n\r\n", 413},
        {start + "Content-Length: 1048577\r\n\r\n", 413},
        {start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
        {start + "Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n", 400},
        {start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n", 400},
        {start + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", 400},
        {start + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 413},
        {start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", 400},
        {start + "Expect: miracles\r\n\r\n", 417},
        {start + "no colon\r\n\r\n", 400},
        {start + "Blank : x\r\n\r\n", 400},
        {start + "X: 1\r\n folded\r\n\r\n", 400},
        {start + "X: a\x01z\r\n\r\n", 400},
        {start + std::string{"X: a\0z\r\n\r\n", 10}, 400},
        {start + "X: a\rb\r\n\r\n", 400},
        {start + "X: bare\n\r\n\r\n", 400},
        {start + ": empty\r\n\r\n", 400},
        {start + "Host: y\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\n\r\n", 400},
        {"GET /x\r\nHost: x\r\n\r\n", 400},
        {"GET /x HTTP/2.0\r\nHost: x\r\n\r\n", 400},
        {"GET /x HTTP/1.1 \r\nHost: x\r\n\r\n", 400},
        {"GET  /x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"GET /x y HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"GET /x#f HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"GET x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"G(T /x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"BREW /x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"\x16\x03\x01\x02\x01\x01\n\n", 400},
        {start + "X: " + std::string(20'000, 'a'), 431},
        {"GET /" + std::string(20'000, 'a'), 431},
    };
    for (const auto& input : inputs) {
        const auto received = response_until_close(input.bytes);
        EXPECT_EQ(received.rfind("HTTP/1.1 " + std::to_string(input.status) + " ", 0), 0U)
            << input.bytes.substr(0, 100) << "\ngot\n"
            << received;
        EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos);
    }
    EXPECT_EQ(handled_, 0);
}

// Guards against a refusal that the client cannot read because the server resets the connection
// while the client is still sending the body.
TEST_F(http_server_test, answers_a_body_that_is_too_large)
{
    const auto received =
        response_until_close("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2097152\r\n\r\n" +
                             std::string(2'097'152, 'x'));
    EXPECT_EQ(received.rfind("HTTP/1.1 413 ", 0), 0U) << received;
    EXPECT_EQ(handled_, 0);
}

// Guards against a limit that refuses a body of exactly the allowed size.
TEST_F(http_server_test, takes_a_body_of_the_largest_size)
{
    const auto client = connect();
    client.send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n" +
                std::string(1'048'576, 'x'));
    EXPECT_EQ(client.receive_message().rfind("HTTP/1.1 200 ", 0), 0U);
    EXPECT_EQ(requests_.at(0).body.size(), 1'048'576U);
}

// Guards against clients that occupy a connection with a request that is never completed.
TEST_F(http_server_test, refuses_a_request_that_is_not_complete_in_time)
{
    for (const std::string part : {"GET /x HT", "GET /x HTTP/1.1\r\nHost: x\r\n",
                                   "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab"}) {
        EXPECT_EQ(response_until_close(part).rfind("HTTP/1.1 408 ", 0), 0U) << part;
    }
    EXPECT_EQ(handled_, 0);
}

// Guards against a client that extends the request timeout by sending single bytes.
TEST_F(http_server_test, refuses_a_request_sent_too_slowly)
{
    const auto client = connect();
    bool refused = false;
    client.send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n");
    for (int i = 0; i < 200 && !refused; ++i) {
        refused = !client.send("x");
        std::this_thread::sleep_for(milliseconds{10});
    }
    EXPECT_TRUE(refused);
    EXPECT_EQ(handled_, 0);
}

// Guards against a client that waits forever for 100 Continue before it sends the body.
TEST_F(http_server_test, sends_100_continue_to_a_waiting_client)
{
    const auto client = connect();
    client.send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_EQ(client.receive_until_text("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    client.send("ab");
    EXPECT_EQ(client.receive_message().rfind("HTTP/1.1 200 ", 0), 0U);
}

// Guards against a connection that stays open after a response with Connection: close.
TEST_F(http_server_test, closes_the_connection_after_connection_close)
{
    for (const std::string request : {"GET /x HTTP/1.1\r\nHost: x\r\nConnection: a, Close\r\n\r\n",
                                      "GET /x HTTP/1.0\r\n\r\n"}) {
        const auto received = response_until_close(request);
        EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos);
    }
    hold_responses_ = true;
    const auto client = connect();
    client.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    wait_for_pending_responders(1).at(0)->send({200, {{"Connection", "close"}}, "end"});
    bool closed = false;
    EXPECT_NE(client.receive_all(closed).find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(closed);
}

// Guards against a body in a response to HEAD, which the client would parse as the next response.
TEST_F(http_server_test, sends_no_body_in_response_to_head)
{
    const auto client = connect();
    client.send("HEAD /long HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto received = client.receive_until_text("/next");
    EXPECT_EQ(received.find("/long"), std::string::npos);
    EXPECT_NE(received.find("Content-Length: 5\r\n"), std::string::npos);
}

// Guards against further work for a caller that has disconnected.
TEST_F(http_server_test, cancels_when_the_client_disconnects)
{
    hold_responses_ = true;
    auto client = connect();
    client.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto held = wait_for_pending_responders(1);
    ASSERT_EQ(held.size(), 1U);
    EXPECT_FALSE(held[0]->disconnected()->cancelled());
    client.close();
    for (int i = 0; i < 10'000 && !held[0]->disconnected()->cancelled(); ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    EXPECT_TRUE(held[0]->disconnected()->cancelled());
}

// Guards against refusals whose format differs from the other errors on the same port.
TEST_F(http_server_test, uses_the_configured_refusal_response)
{
    options_.make_refusal_response = [](const request_refusal& refusal) {
        return http_response{
            refusal.status, {}, "refused as " + std::string{to_string(refusal.reason)}};
    };
    start();
    const auto received = response_until_close("nonsense\r\n\r\n");
    EXPECT_NE(received.find("refused as malformed_request"), std::string::npos) << received;
}

// Guards against a stopped server that still accepts connections or keeps existing ones open.
TEST_F(http_server_test, stop_closes_all_connections)
{
    const auto client = connect();
    client.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    client.receive_message();
    const auto port = server_->port();
    server_->stop();
    bool closed = false;
    client.receive_all(closed);
    EXPECT_TRUE(closed);
    EXPECT_FALSE(raw_socket::connect_to(port).open());
}

// Guards against refused chunked bodies, and against a wrong end of the body, from which the next
// request would be parsed.
TEST_F(http_server_test, reads_a_body_in_chunks)
{
    const auto client = connect();
    const std::string bytes = "POST /first HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                              "\r\n3;note=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"
                              "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    for (const char byte : bytes.substr(0, bytes.size() - 1)) {
        client.send(std::string(1, byte));
    }
    EXPECT_NE(client.receive_message().find("/first"), std::string::npos);
    client.send(bytes.substr(bytes.size() - 1));
    EXPECT_NE(client.receive_message().find("/second"), std::string::npos);
    const std::lock_guard lock{mutex_};
    ASSERT_EQ(requests_.size(), 2U);
    EXPECT_EQ(requests_[0].body, "abc0123456789");
    EXPECT_EQ(requests_[1].body, "");
}

// Guards against changed limits that have no effect until a restart.
TEST_F(http_server_test, follows_changed_limits)
{
    std::atomic<std::size_t> body_bytes = 4;
    options_.current_limits = [&] {
        http_server_limits limits;
        limits.max_body_bytes = body_bytes;
        return limits;
    };
    start();
    const std::string request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n12345678";
    EXPECT_EQ(response_until_close(request).rfind("HTTP/1.1 413", 0), 0U);
    body_bytes = 8;
    const auto client = connect();
    client.send(request);
    EXPECT_EQ(client.receive_message().rfind("HTTP/1.1 200", 0), 0U);
}

} // namespace
} // namespace chestnutstand
