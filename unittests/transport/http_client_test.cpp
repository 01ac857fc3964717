#include "chestnutstand/transport/http_client.h"

#include "fake_server.h"

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

using chestnutstand::testing::eventually;
using chestnutstand::testing::fake_server;
using chestnutstand::testing::get;
using chestnutstand::testing::long_timeout;
using chestnutstand::testing::ok;
using chestnutstand::testing::raw_socket;
using chestnutstand::testing::repeated;

/// Error of a request to which the server sends the bytes and then closes the connection.
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

// Guards against a head that was cut off and is taken for that of a complete or empty response: by
// a server that stops anywhere within it, also behind an interim response.
TEST(http_client, refuses_a_head_that_is_cut_at_any_byte)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n";
    for (const std::string& head :
         {std::string{"HTTP/1.1 200 OK\r\nContent-Length: 11\r\nServer: s\r\n\r\n"},
          std::string{"HTTP/1.1 200 OK\r\nServer: s\r\nConnection: close\r\n\r\n"},
          std::string{"HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n"},
          std::string{"HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n"},
          interim + "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
          hints + "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n"}) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const auto error = error_after(head.substr(0, cut));
            EXPECT_TRUE(error == http_error::connection_lost || error == http_error::truncated ||
                        error == http_error::malformed)
                << "cut at byte " << cut << " of " << head;
        }
    }
}

// Guards against a request that is sent on a pooled connection on which a late copy of a response
// lies, and against a new connection for each request.
TEST(http_client, replaces_a_pooled_connection_with_unread_bytes)
{
    fake_server server{[](raw_socket& connection, int number, int) {
        connection.send(ok("first"));
        if (number == 0) {
            std::this_thread::sleep_for(milliseconds{20});
            connection.send(ok("copy"));
        }
        return true;
    }};
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, server.url()).response.body, "first");
    std::this_thread::sleep_for(milliseconds{100});
    for (int i = 0; i < 3; ++i) {
        const auto next = get(*client, server.url());
        EXPECT_EQ(next.error, http_error::none);
        EXPECT_EQ(next.response.body, "first");
    }
    EXPECT_EQ(server.connections(), 2);
    EXPECT_EQ(server.requests(), 4);
}

// Guards against a partial response that is taken for a complete one.
TEST(http_client, refuses_responses_that_are_not_whole)
{
    EXPECT_EQ(error_after(ok("12345")), http_error::none);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"),
              http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n"),
              http_error::truncated);
    EXPECT_EQ(
        error_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n"),
        http_error::truncated);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123456\r\n"),
              http_error::malformed);
    EXPECT_EQ(error_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
              http_error::malformed);
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

// Guards against a chunked body that is not delivered as its content alone.
TEST(http_client, decodes_a_chunked_body)
{
    fake_server server{[](raw_socket& connection, int, int) {
        return connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") &&
               connection.send("5;name=value\r\n12") && connection.send("345\r\n1\r\n6\r\n0\r") &&
               connection.send("\nX-Trailer: x\r\n\r\n");
    }};
    const auto client = make_http_client();
    for (int i = 0; i < 3; ++i) {
        const auto result = get(*client, server.url());
        EXPECT_EQ(result.error, http_error::none);
        EXPECT_EQ(result.response.body, "123456");
    }
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a request that was never sent but is reported as one that may have run.
TEST(http_client, reports_a_refused_connection_as_connect_failed)
{
    auto gone = raw_socket::listen_on_loopback();
    const auto url = "http://127.0.0.1:" + std::to_string(gone.port());
    gone.close();
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, url).error, http_error::connect_failed);
}

// Guards against a second execution: libcurl resends a request when a pooled connection closes
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

// Guards against an upload that runs twice: libcurl sends the body again, too.
TEST(http_client, never_repeats_a_request_with_a_body)
{
    fake_server server{[](raw_socket& connection, int, int request) {
        return request == 0 && connection.send(ok("first"));
    }};
    const auto client = make_http_client();
    const auto post = [&] {
        std::promise<http_error> ended;
        client->send(server.url(), {"POST", "/", {}, std::string(10'000, 'x')}, long_timeout,
                     [&](const http_result& result) { ended.set_value(result.error); });
        return ended.get_future().get();
    };
    EXPECT_EQ(post(), http_error::none);
    EXPECT_EQ(post(), http_error::connection_lost);
    EXPECT_EQ(server.requests(), 2);
}

// Guards against a late response that is attributed to a later request.
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

// Guards against an upstream that continues a cancelled request because the connection stays open.
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

// Guards against an unresponsive pooled connection that fails more than one request.
TEST(http_client, abandons_an_unresponsive_pooled_connection)
{
    fake_server server{[](raw_socket& connection, int number, int request) {
        const bool unresponsive = number == 0 && request > 0;
        return unresponsive || connection.send(ok("whole"));
    }};
    const auto client = make_http_client();
    EXPECT_EQ(get(*client, server.url()).error, http_error::none);
    EXPECT_EQ(get(*client, server.url(), milliseconds{50}).error, http_error::timed_out);
    EXPECT_EQ(get(*client, server.url()).error, http_error::none);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a surplus response after which each later request on the connection gets the
// response to the one before.
TEST(http_client, closes_a_connection_whose_response_is_for_another_request)
{
    const auto response = [](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: " + id + "\r\n\r\n";
    };
    fake_server server{[&](raw_socket& connection, int number, int) {
        return connection.send(number == 0 ? response("late") : response("mine"));
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

// Guards against a lost response that is noticed only at the limit of the whole exchange, and
// against a long response that is ended although it has begun in time.
TEST(http_client, limits_the_start_of_a_response)
{
    constexpr milliseconds limit{100};
    fake_server server{[&](raw_socket& connection, int number, int) {
        if (number == 0) {
            return true;
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12");
        std::this_thread::sleep_for(limit * 2.0);
        return connection.send("34");
    }};
    const auto client = make_http_client();
    const auto send = [&] {
        std::promise<http_result> ended;
        http_request request{"GET", "/", {}, "", false};
        request.response_start_timeout = limit;
        client->send(server.url(), std::move(request), long_timeout,
                     [&](http_result result) { ended.set_value(std::move(result)); });
        return ended.get_future().get();
    };
    const auto lost = send();
    EXPECT_EQ(lost.error, http_error::timed_out);
    EXPECT_LT(lost.elapsed, long_timeout / 2.0);
    const auto late = send();
    EXPECT_EQ(late.error, http_error::none);
    EXPECT_EQ(late.response.body, "1234");
}

struct endless_result {
    http_result result;
    std::size_t sent_bytes = 0;
};

/// Sends a request to a server that sends the first bytes and then repeats the others until the
/// client closes the connection.
endless_result get_endless(const std::string& first, const std::string& repeated_text)
{
    constexpr std::size_t block_bytes = 65'536;
    std::atomic<std::size_t> sent_bytes = 0;
    endless_result ended;
    {
        fake_server server{[&](raw_socket& connection, int, int) {
            connection.send(first);
            const std::string block = repeated(repeated_text, block_bytes / repeated_text.size());
            while (connection.send(block)) {
                sent_bytes += block.size();
            }
            return false;
        }};
        const auto client = make_http_client();
        ended.result = get(*client, server.url());
    }
    ended.sent_bytes = sent_bytes;
    return ended;
}

// Guards against a response without an end that takes the memory or the time of the process until
// the deadline.
TEST(http_client, ends_a_response_that_has_no_end)
{
    // Twice the limit for chunked framing, and what the buffers of both sockets hold.
    constexpr std::size_t max_bytes = 3 * default_response_limit;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> responses{
        {"", "x"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {status + "X-Long: ", "x"},
        {status, "X-Many: x\r\n"},
        {status + "\r\n", "x"},
        {chunked, "1\r\nx\r\n"},
        {chunked + "1;", "x"},
        {chunked + "0\r\n", "X-Trailer: x\r\n"},
        {"HTTP/1.1 204 No Content\r\n\r\n", "x"},
    };
    for (const auto& [first, repeated_text] : responses) {
        const auto ended = get_endless(first, repeated_text);
        SCOPED_TRACE(first + repeated_text);
        EXPECT_NE(ended.result.error, http_error::timed_out);
        EXPECT_LT(ended.result.elapsed, long_timeout / 2.0);
        EXPECT_LT(ended.sent_bytes, max_bytes);
    }
}

// Guards against responses that are delivered to the wrong one of several concurrent requests.
TEST(http_client, gives_each_request_its_own_response)
{
    fake_server server{[](raw_socket& connection, int number, int) {
        std::this_thread::sleep_for(milliseconds{number % 3});
        return connection.send(ok("from " + std::to_string(number)));
    }};
    const auto client = make_http_client();
    std::vector<std::future<http_result>> results;
    for (int i = 0; i < 32; ++i) {
        auto ended = std::make_shared<std::promise<http_result>>();
        results.push_back(ended->get_future());
        client->send(server.url(), {"GET", "/", {}, "", true}, long_timeout,
                     [ended](http_result result) { ended->set_value(std::move(result)); });
    }
    std::vector<std::string> bodies;
    bodies.reserve(results.size());
    for (auto& result : results) {
        bodies.push_back(result.get().response.body);
    }
    std::sort(bodies.begin(), bodies.end());
    EXPECT_EQ(std::unique(bodies.begin(), bodies.end()), bodies.end());
}

} // namespace
} // namespace chestnutstand
