#include "fake_server.h"
#include "invalid_fields.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::eventually;
using chestnutstand::testing::fake_server;
using chestnutstand::testing::get;
using chestnutstand::testing::invalid_fields;
using chestnutstand::testing::raw_socket;

// Guards against a part of a body, or a response with headers that were read differently than they
// were meant, that is delivered as a complete success: libcurl takes from an invalid head what it
// understands. The server keeps the connection open, so that a response that is read as longer than
// it is would last until the time limit.
TEST(http_client, refuses_an_invalid_head)
{
    const std::string end = "\r\n\r\n0123456789";
    const std::string length = "\r\nContent-Length: 10";
    std::vector<std::string> responses{
        "HTTP/1.1 20" + length + end,
        "HTTP/1.1 2000 OK" + length + end,
        "HTTP/1.1 200OK" + length + end,
        "HTTP/1.1 099 OK" + length + end,
        "HTTP/1.1 700 OK" + length + end,
        "HTTP/1.1 101 Switching Protocols" + length + end,
        "HTTP/1.1  200 OK" + length + end,
        "HTTP/1.x 200 OK" + length + end,
        "HTTP/2 200 OK" + length + end,
        "HTTP/3.1 200 OK" + length + end,
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + end,
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\nX: y" + end,
        "HTTP/1.1 200 OK\r\nContent-Length: 999999999999999999999999" + end,
    };
    for (const std::string& fields : invalid_fields) {
        std::string response = "HTTP/1.1 200 OK\r\n";
        response += fields;
        response += end;
        responses.push_back(std::move(response));
    }
    for (const std::string& response : responses) {
        fake_server server{[&](raw_socket& connection, int, int) {
            connection.send(response);
            return true;
        }};
        const auto client = make_http_client();
        const auto result = get(*client, server.url(), milliseconds{1'000});
        SCOPED_TRACE(response);
        EXPECT_NE(result.error, http_error::none);
        EXPECT_NE(result.error, http_error::unframed);
        EXPECT_NE(result.error, http_error::timed_out);
        EXPECT_TRUE(eventually([&] { return server.closed_by_client() == 1; }));
    }
}

// Guards against a spoiled byte of a head after which a part of the body is delivered as all of it.
// A length in which a digit becomes another one, or a space around the number, is still valid.
TEST(http_client, never_delivers_a_part_of_a_body_when_a_byte_of_the_head_is_spoiled)
{
    constexpr int byte_values = 256;
    constexpr int value_step = 5;
    const std::string body = "0123456789ab";
    const std::string whole = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 12\r\n\r\n" + body;
    const std::size_t head_bytes = whole.size() - body.size();
    const std::size_t length_at = whole.find("12\r\n");
    std::string spoiled;
    fake_server server{[&](raw_socket& connection, int, int) {
        connection.send(spoiled);
        return false;
    }};
    const auto client = make_http_client();
    for (std::size_t at = 0; at < head_bytes; ++at) {
        const bool in_length = at >= length_at && at < length_at + 2;
        for (int value = 0; value < byte_values; value += in_length ? 1 : value_step) {
            const bool is_valid_length =
                (value >= '0' && value <= '9') || value == ' ' || value == '\t';
            if (in_length && is_valid_length) {
                continue;
            }
            spoiled = whole;
            spoiled[at] = static_cast<char>(value);
            const auto result = get(*client, server.url());
            if (result.error == http_error::none || result.error == http_error::unframed) {
                EXPECT_EQ(result.response.body, body) << "byte " << at << " is " << value;
            }
        }
    }
}

// Guards against a connection that is used again although a part of an extra response, of which the
// rest may follow, lay behind a chunked body.
TEST(http_client, closes_a_connection_with_bytes_behind_a_chunked_body)
{
    fake_server server{[](raw_socket& connection, int, int) {
        return connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "2\r\nok\r\n0\r\n\r\nHTTP/1.1 2");
    }};
    const auto client = make_http_client();
    for (int i = 0; i < 3; ++i) {
        const auto result = get(*client, server.url());
        EXPECT_EQ(result.error, http_error::none);
        EXPECT_EQ(result.response.body, "ok");
    }
    EXPECT_EQ(server.connections(), 3);
}

} // namespace
} // namespace chestnutstand
