#include "chestnutstand/config/http_log_client.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

/// HTTP client that returns the same result for every request and records the last request.
class fake_http : public http_client {
public:
    request_id send(const std::string& base_url, http_request request, milliseconds /*timeout*/,
                    http_done done) override
    {
        last_url = base_url + request.target;
        last = std::move(request);
        done(result);
        return 1;
    }
    void cancel(request_id /*id*/) override {}

    void set_response(int status, const std::string& body) { result.response = {status, {}, body}; }

    std::string last_url;
    http_request last;
    http_result result;
};

class http_log_client_test : public testing::Test {
protected:
    absl::StatusOr<std::uint64_t> append()
    {
        absl::StatusOr<std::uint64_t> result;
        client_.append("config", "payload", [&](auto offset) { result = std::move(offset); });
        return result;
    }
    absl::StatusOr<log_page> read()
    {
        absl::StatusOr<log_page> result;
        client_.read("config", 7, 100, [&](auto page) { result = std::move(page); });
        return result;
    }

    fake_http http_;
    http_log_client client_{http_, "http://127.0.0.1:9000"};
};

// Guards against requests that the log service does not accept and responses that are misread.
TEST_F(http_log_client_test, follows_the_log_service_protocol)
{
    http_.set_response(200, R"({"offset": 12})");
    EXPECT_EQ(append().value(), 12U);
    EXPECT_EQ(http_.last_url, "http://127.0.0.1:9000/streams/config/records");
    EXPECT_EQ(http_.last.method, "POST");
    EXPECT_EQ(http_.last.body, "payload");
    http_.set_response(200, R"({"first": 3, "next": 9, "records": [
        {"offset": 7, "age_ms": 1.5, "payload": "AAE="}]})");
    const auto page = read();
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_EQ(http_.last_url, "http://127.0.0.1:9000/streams/config/records?from=7&limit=100");
    EXPECT_EQ(page->first, 3U);
    EXPECT_EQ(page->next, 9U);
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].payload, (std::string{'\0', '\1'}));
}

// Guards against an append that is reported as not appended although it may have taken effect.
TEST_F(http_log_client_test, only_a_refused_connection_proves_that_nothing_was_appended)
{
    http_.result.error = http_error::connect_failed;
    EXPECT_EQ(append().status().code(), absl::StatusCode::kUnavailable);
    for (const auto error : {http_error::timed_out, http_error::connection_lost,
                             http_error::truncated, http_error::too_large}) {
        http_.result.error = error;
        EXPECT_NE(append().status().code(), absl::StatusCode::kUnavailable);
        EXPECT_FALSE(append().ok());
    }
    http_.result.error = http_error::none;
    for (const int status : {404, 500, 503}) {
        http_.set_response(status, "");
        EXPECT_EQ(append().status().code(), absl::StatusCode::kUnknown);
    }
}

// Guards against a malformed response that crashes the node or is read as an empty page.
TEST_F(http_log_client_test, malformed_responses_are_errors)
{
    for (const char* body :
         {"", "[]", "{}", R"({"first": -1, "next": 0, "records": []})",
          R"({"first": 0, "next": 1, "records": [{"offset": 0, "payload": "?"}]})",
          R"({"first": 0, "next": 1, "records": [{"payload": "AAE="}]})"}) {
        http_.set_response(200, body);
        EXPECT_FALSE(read().ok()) << body;
        EXPECT_FALSE(append().ok()) << body;
    }
}

} // namespace
} // namespace chestnutstand
