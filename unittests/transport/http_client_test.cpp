#include "chestnutstand/transport/http_client.h"

#include "raw_socket.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::raw_socket;

constexpr milliseconds long_timeout{10'000};

std::string ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string result;
    result.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

/// Server whose test decides what each connection does with each request it receives.
class fake_server {
public:
    /// Runs for each request with the numbers of its connection and of the request on it; false
    /// ends the connection.
    using script = std::function<bool(raw_socket& connection, int number, int request)>;

    explicit fake_server(script answer)
        : answer_{std::move(answer)}, listener_{raw_socket::listen_on_loopback()},
          port_{listener_.port()}, acceptor_{[this] { run(); }}
    {
    }
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;

    ~fake_server()
    {
        stopping_ = true;
        raw_socket::connect_to(port_);
        acceptor_.join();
        for (auto& each : serving_) {
            each.join();
        }
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }
    int connections() const { return connections_; }
    int requests() const { return requests_; }
    int closed_by_client() const { return closed_by_client_; }

private:
    void run()
    {
        while (true) {
            raw_socket accepted = listener_.accept();
            if (stopping_) {
                return;
            }
            serving_.emplace_back(
                [this, number = connections_++, connection = std::move(accepted)]() mutable {
                    for (int request = 0; !connection.receive_until_text("\r\n\r\n").empty();
                         ++request) {
                        ++requests_;
                        if (!answer_(connection, number, request)) {
                            return;
                        }
                    }
                    ++closed_by_client_;
                });
        }
    }

    script answer_;
    raw_socket listener_;
    std::uint16_t port_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::atomic<int> requests_ = 0;
    std::atomic<int> closed_by_client_ = 0;
    std::vector<std::thread> serving_;
    std::thread acceptor_;
};

http_result get(http_client& client, const std::string& url, milliseconds timeout = long_timeout,
                const std::string& target = "/")
{
    auto ended = std::make_shared<std::promise<http_result>>();
    client.send(url, {"GET", target, {}, "", false}, timeout,
                [ended](http_result result) { ended->set_value(std::move(result)); });
    return ended->get_future().get();
}

template <typename Condition>
bool eventually(Condition holds)
{
    for (int i = 0; i < 10'000 && !holds(); ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    return holds();
}

/// Result of one request whose connection sends the bytes and then closes.
http_error error_after(const std::string& bytes)
{
    fake_server server{[&](raw_socket& connection, int, int) {
        connection.send(bytes);
        return false;
    }};
    const auto client = make_http_client();
    const auto error = get(*client, server.url()).error;
    EXPECT_EQ(server.requests(), 1);
    return error;
}

// Guards against parts of a response that pass for the whole.
TEST(http_client, refuses_responses_that_are_not_whole)
{
    EXPECT_EQ(error_after(ok("12345")), http_error::none);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"),
              http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n"),
              http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\n\r\n12345"), http_error::unframed);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nContent-Le"), http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Cut: a"),
              http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 204 No Content\r\nX-Whole: a\r\n"), http_error::truncated);
    EXPECT_EQ(error_after(""), http_error::connection_lost);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" +
                          repeated("x", 9'000'000)),
              http_error::too_large);
}

// Guards against a lost request that is reported as one that may have run.
TEST(http_client, reports_a_refused_connection_as_connect_failed)
{
    auto gone = raw_socket::listen_on_loopback();
    const auto url = "http://127.0.0.1:" + std::to_string(gone.port());
    gone.close();
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, url).error, http_error::connect_failed);
}

// Guards against a second execution: libcurl repeats a request when a pooled connection closes
// without a response.
TEST(http_client, never_repeats_a_request)
{
    for (const bool reset : {false, true}) {
        fake_server server{[reset](raw_socket& connection, int, int request) {
            if (request == 0) {
                return connection.send(ok("first"));
            }
            if (reset) {
                connection.reset();
            }
            return false;
        }};
        const auto client = make_http_client();
        EXPECT_EQ(get(*client, server.url()).error, http_error::none);
        EXPECT_EQ(get(*client, server.url()).error, http_error::connection_lost);
        EXPECT_EQ(server.requests(), 2);
    }
}

// Guards against a late response that is taken for the response to a later request.
TEST(http_client, never_takes_a_late_response_for_another)
{
    fake_server server{[](raw_socket& connection, int number, int) {
        if (number == 0) {
            std::this_thread::sleep_for(milliseconds{150});
            connection.send(ok("late"));
            return true;
        }
        return connection.send(ok("own"));
    }};
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, server.url(), milliseconds{50}).error, http_error::timed_out);
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(get(*client, server.url()).response.body, "own");
        std::this_thread::sleep_for(milliseconds{10});
    }
    EXPECT_TRUE(eventually([&] { return server.closed_by_client() == 1; }));
}

// Guards against a cancelled request whose upstream goes on because its connection stays open.
TEST(http_client, cancel_closes_the_connection)
{
    std::atomic<bool> received = false;
    fake_server server{[&](raw_socket&, int, int) {
        received = true;
        return true;
    }};
    const auto client = make_http_client();
    std::promise<http_error> ended;
    const auto id = client->send(server.url(), {"GET", "/", {}, "", false}, long_timeout,
                                 [&](const http_result& result) { ended.set_value(result.error); });
    ASSERT_TRUE(eventually([&] { return received.load(); }));
    client->cancel(id);
    EXPECT_EQ(ended.get_future().get(), http_error::cancelled);
    EXPECT_TRUE(eventually([&] { return server.closed_by_client() == 1; }));
}

// Guards against a silent pooled connection that stops more than one request.
TEST(http_client, abandons_an_unresponsive_pooled_connection)
{
    fake_server server{[](raw_socket& connection, int number, int request) {
        const bool silent = number == 0 && request > 0;
        return silent || connection.send(ok("whole"));
    }};
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, server.url()).error, http_error::none);
    EXPECT_EQ(get(*client, server.url(), milliseconds{50}).error, http_error::timed_out);
    EXPECT_EQ(get(*client, server.url()).error, http_error::none);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a connection on which one extra response shifts all that follow.
TEST(http_client, closes_a_connection_whose_response_is_for_another_request)
{
    const auto answer = [](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: " + id + "\r\n\r\n";
    };
    fake_server server{[&](raw_socket& connection, int number, int) {
        return connection.send(number == 0 ? answer("late") : answer("mine"));
    }};
    const auto client = make_http_client();
    const auto send = [&] {
        std::promise<http_result> ended;
        http_request request{"GET", "/", {{"Id", "mine"}}, "", false};
        request.echoed_header = "Id";
        client->send(server.url(), std::move(request), long_timeout,
                     [&](http_result result) { ended.set_value(std::move(result)); });
        return find_header(ended.get_future().get().response.headers, "id").value_or("") == "mine";
    };
    EXPECT_FALSE(send());
    EXPECT_TRUE(send());
    EXPECT_TRUE(send());
    EXPECT_EQ(server.connections(), 2);
}

// Guards against responses that are given to the wrong one of many concurrent requests.
TEST(http_client, gives_each_request_its_own_response)
{
    fake_server server{[](raw_socket& connection, int number, int) {
        std::this_thread::sleep_for(milliseconds{number % 3});
        return connection.send(ok("from " + std::to_string(number)));
    }};
    const auto client = make_http_client();
    std::vector<std::future<http_result>> ends;
    for (int i = 0; i < 32; ++i) {
        auto ended = std::make_shared<std::promise<http_result>>();
        ends.push_back(ended->get_future());
        client->send(server.url(), {"GET", "/", {}, "", true}, long_timeout,
                     [ended](http_result result) { ended->set_value(std::move(result)); });
    }
    std::vector<std::string> bodies;
    bodies.reserve(ends.size());
    for (auto& each : ends) {
        bodies.push_back(each.get().response.body);
    }
    std::sort(bodies.begin(), bodies.end());
    EXPECT_EQ(std::unique(bodies.begin(), bodies.end()), bodies.end());
}

} // namespace
} // namespace chestnutstand
