#include "chestnutstand/transport/http_server.h"

#include "raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::raw_socket;

std::string get(const std::string& target, const std::string& fields = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

/// Server whose requests to /may-overtake/ may overtake; the test sends the responses.
class pipelining_test : public ::testing::Test {
protected:
    void SetUp() override { start(100); }

    void start(std::size_t max_body_bytes, milliseconds idle_timeout = milliseconds{10'000})
    {
        http_server_options options;
        options.max_body_bytes = max_body_bytes;
        options.max_header_bytes = 1'000;
        options.pipeline.max_requests = 3;
        options.idle_timeout = idle_timeout;
        options.may_overtake = [](const http_request& request) {
            return request.target.rfind("/may-overtake/", 0) == 0;
        };
        server_ = std::make_unique<http_server>(
            options, [this](const http_request& request, std::shared_ptr<responder> response) {
                const std::lock_guard lock{mutex_};
                held_.emplace(request.target, std::move(response));
            });
        ASSERT_TRUE(server_->start().ok());
    }

    void TearDown() override { server_.reset(); }

    std::shared_ptr<responder> handled(const std::string& target)
    {
        for (int i = 0; i < 10'000; ++i) {
            {
                const std::lock_guard lock{mutex_};
                if (const auto found = held_.find(target); found != held_.end()) {
                    return found->second;
                }
            }
            std::this_thread::sleep_for(milliseconds{1});
        }
        ADD_FAILURE() << target << " was not handled";
        return nullptr;
    }

    void answer(const std::string& target, std::vector<http_header> headers = {})
    {
        if (const auto response = handled(target)) {
            response->send({200, std::move(headers), "<" + target + ">"});
        }
    }

    bool was_handled(const std::string& target)
    {
        const std::lock_guard lock{mutex_};
        return held_.contains(target);
    }

    bool becomes_idle() const
    {
        for (int i = 0; i < 10'000 && !server_->idle(); ++i) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        return server_->idle();
    }

    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<responder>> held_;
    std::unique_ptr<http_server> server_;
};

// Guards against requests that wait for the ones ahead although their route lets them run at once,
// and against responses in the order in which they are ready.
TEST_F(pipelining_test, handles_requests_at_once_and_answers_in_order)
{
    const auto client = raw_socket::connect_to(server_->port());
    client.send(get("/may-overtake/1") + get("/may-overtake/2") + get("/may-overtake/3") +
                get("/may-overtake/4"));
    answer("/may-overtake/3");
    answer("/may-overtake/2");
    handled("/may-overtake/1");
    EXPECT_FALSE(was_handled("/may-overtake/4"));
    EXPECT_FALSE(server_->idle());
    answer("/may-overtake/1");
    answer("/may-overtake/4");
    const auto received = client.receive_until_text("</may-overtake/4>");
    EXPECT_LT(received.find("</may-overtake/1>"), received.find("</may-overtake/2>"));
    EXPECT_LT(received.find("</may-overtake/2>"), received.find("</may-overtake/3>"));
    EXPECT_LT(received.find("</may-overtake/3>"), received.find("</may-overtake/4>"));
    EXPECT_EQ(received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(becomes_idle());
}

// Guards against a request that runs although its client will send it again on a new connection.
TEST_F(pipelining_test, request_that_must_not_run_twice_waits_for_those_ahead)
{
    const auto client = raw_socket::connect_to(server_->port());
    client.send(get("/may-overtake/1") + get("/once") + get("/may-overtake/2"));
    handled("/may-overtake/1");
    const auto other = raw_socket::connect_to(server_->port());
    other.send("POST /may-overtake/3 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na" +
               get("/may-overtake/4") +
               "POST /may-overtake/5 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na");
    handled("/may-overtake/4");
    EXPECT_FALSE(was_handled("/once"));
    EXPECT_FALSE(was_handled("/may-overtake/2"));
    EXPECT_FALSE(was_handled("/may-overtake/5"));
    answer("/may-overtake/1", {{"Connection", "close"}});
    bool closed = false;
    const auto received = client.receive_all(closed);
    EXPECT_TRUE(closed);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_FALSE(was_handled("/once"));
    answer("/may-overtake/4");
    answer("/may-overtake/3");
    handled("/may-overtake/5");
}

// Guards against begun requests whose responses are lost when the connection is to be closed, by a
// response, a request or a refusal.
TEST_F(pipelining_test, answers_what_was_begun_before_it_closes)
{
    const auto expect_closed_after = [](const raw_socket& client, const std::string& last) {
        bool closed = false;
        const auto received = client.receive_all(closed);
        EXPECT_TRUE(closed) << received;
        const auto close = received.find("Connection: close");
        EXPECT_NE(close, std::string::npos) << received;
        EXPECT_EQ(received.find("Connection: close", close + 1), std::string::npos) << received;
        EXPECT_GT(received.find(last), close) << received;
        EXPECT_NE(received.find(last), std::string::npos) << received;
    };
    const auto by_response = raw_socket::connect_to(server_->port());
    by_response.send(get("/may-overtake/a1") + get("/may-overtake/a2"));
    handled("/may-overtake/a2");
    answer("/may-overtake/a1", {{"Connection", "close"}});
    by_response.receive_until_text("</may-overtake/a1>");
    by_response.send(get("/may-overtake/a3"));
    answer("/may-overtake/a2");
    expect_closed_after(by_response, "</may-overtake/a2>");

    const auto by_request = raw_socket::connect_to(server_->port());
    by_request.send(get("/may-overtake/b1") + get("/may-overtake/b2", "Connection: close\r\n") +
                    get("/may-overtake/b3"));
    answer("/may-overtake/b2");
    answer("/may-overtake/b1");
    expect_closed_after(by_request, "</may-overtake/b2>");

    const auto by_refusal = raw_socket::connect_to(server_->port());
    by_refusal.send(get("/may-overtake/c1") + "nonsense\r\n\r\n" + get("/may-overtake/c3"));
    answer("/may-overtake/c1");
    expect_closed_after(by_refusal, "the request line must be");

    const auto by_size = raw_socket::connect_to(server_->port());
    by_size.send(get("/may-overtake/d1") + get("/waits") + std::string(2'000, 'x'));
    answer("/may-overtake/d1");
    bool closed = false;
    by_size.receive_all(closed);
    EXPECT_TRUE(closed);
    for (const char* not_read : {"/may-overtake/a3", "/may-overtake/b3", "/may-overtake/c3"}) {
        EXPECT_FALSE(was_handled(not_read)) << not_read;
    }
    EXPECT_FALSE(was_handled("/waits"));
    EXPECT_TRUE(becomes_idle());
}

// Guards against calls that go on for a client that has closed, and against a server that never
// becomes idle again.
TEST_F(pipelining_test, client_that_closes_cancels_all_its_requests)
{
    auto client = raw_socket::connect_to(server_->port());
    client.send(get("/may-overtake/1") + get("/may-overtake/2") + get("/once"));
    const auto first = handled("/may-overtake/1");
    const auto second = handled("/may-overtake/2");
    client.close();
    EXPECT_TRUE(becomes_idle());
    EXPECT_TRUE(first->disconnected()->cancelled());
    EXPECT_TRUE(second->disconnected()->cancelled());
    EXPECT_FALSE(was_handled("/once"));
    second->send({200, {}, "late"});
}

// Guards against a timeout that closes a connection while requests on it are in progress.
TEST_F(pipelining_test, connection_with_requests_in_progress_is_not_idle)
{
    start(100, milliseconds{500});
    const auto client = raw_socket::connect_to(server_->port());
    client.send(get("/may-overtake/1") + get("/may-overtake/2") + "GET /may-over");
    handled("/may-overtake/2");
    std::this_thread::sleep_for(milliseconds{1'000});
    answer("/may-overtake/2");
    answer("/may-overtake/1");
    EXPECT_NE(client.receive_until_text("</may-overtake/2>").find("</may-overtake/2>"),
              std::string::npos);
    client.send("take/3 HTTP/1.1\r\nHost: x\r\n\r\n");
    answer("/may-overtake/3");
    EXPECT_NE(client.receive_message().find("</may-overtake/3>"), std::string::npos);
}

// Guards against a stop that waits for requests in progress or leaves them running.
TEST_F(pipelining_test, stop_ends_all_requests_of_a_connection)
{
    const auto client = raw_socket::connect_to(server_->port());
    client.send(get("/may-overtake/1") + get("/may-overtake/2"));
    const auto first = handled("/may-overtake/1");
    const auto second = handled("/may-overtake/2");
    server_->stop();
    EXPECT_TRUE(first->disconnected()->cancelled());
    EXPECT_TRUE(second->disconnected()->cancelled());
    EXPECT_TRUE(server_->idle());
}

// Guards against a response that is lost, repeated or swapped, or a server that stands still, when
// requests arrive in pieces and are answered in any order.
TEST_F(pipelining_test, keeps_the_order_of_many_requests)
{
    constexpr int request_count = 300;
    constexpr std::size_t piece = 37;
    // The server closes a connection with more bytes read ahead than one request may have.
    start(std::size_t{1} << 20U);
    std::string expected;
    std::atomic<bool> received_all = false;
    std::thread answering{[&] {
        std::mt19937 random{11};
        while (!received_all) {
            std::unique_lock lock{mutex_};
            if (held_.empty()) {
                lock.unlock();
                std::this_thread::yield();
                continue;
            }
            const auto chosen =
                std::next(held_.begin(), static_cast<std::ptrdiff_t>(random() % held_.size()));
            const auto [target, response] = *chosen;
            held_.erase(chosen);
            lock.unlock();
            response->send({200, {}, "<" + target + ">"});
        }
    }};
    const auto client = raw_socket::connect_to(server_->port());
    std::string bytes;
    for (int i = 0; i < request_count; ++i) {
        const std::string target = (i % 5 == 0 ? "/once/" : "/may-overtake/") + std::to_string(i);
        bytes += get(target);
        expected.append("<").append(target).append(">");
    }
    std::thread sending{[&] {
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            client.send(std::string_view{bytes}.substr(at, piece));
            std::this_thread::yield();
        }
    }};
    const auto received = client.receive_until_text("/" + std::to_string(request_count - 1) + ">");
    received_all = true;
    sending.join();
    answering.join();
    std::string bodies;
    for (auto at = received.find('<'); at != std::string::npos; at = received.find('<', at + 1)) {
        bodies += received.substr(at, received.find('>', at) + 1 - at);
    }
    EXPECT_EQ(bodies, expected);
    EXPECT_TRUE(becomes_idle());
}

} // namespace
} // namespace chestnutstand
