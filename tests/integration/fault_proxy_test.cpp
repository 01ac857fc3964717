#include "../support/fleet.h"
#include "../support/proxy.h"

#include "chestnutstand/transport/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>

namespace chestnutstand::testing {
namespace {

/// The proxy in front of a server that responds with the target of the request.
class fault_proxy_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(server_.start().ok());
        proxy_ = std::make_unique<proxy>(server_.port());
    }

    http_result get(const std::string& target, milliseconds timeout = milliseconds{10'000})
    {
        return exchange(*client_, proxy_->port(), {"GET", target, {}, ""}, timeout);
    }

    std::atomic<int> handled_ = 0;
    http_server server_{
        {}, [this](const http_request& request, const std::shared_ptr<responder>& response) {
            ++handled_;
            response->send({200, {}, request.target});
        }};
    std::unique_ptr<http_client> client_ = make_http_client();
    std::unique_ptr<proxy> proxy_;
};

// Guards against fault tests that pass because their fault is never injected.
TEST_F(fault_proxy_test, injects_each_fault)
{
    EXPECT_EQ(get("/1").response.body, "/1");
    ASSERT_TRUE(proxy_->set_faults({{"mode", "truncate"}, {"bytes", 90}}));
    EXPECT_EQ(get("/" + std::string(100, 'x')).error, http_error::truncated);
    ASSERT_TRUE(proxy_->set_faults({{"mode", "drop_response"}}));
    EXPECT_EQ(get("/3").error, http_error::connection_lost);
    ASSERT_TRUE(proxy_->set_faults({{"mode", "pass"}}));
    EXPECT_EQ(get("/4").response.body, "/4");
    ASSERT_TRUE(proxy_->set_faults({{"mode", "cut"}}));
    // The proxy may have closed the pooled connection before the request is sent on it.
    const int handled = handled_;
    const auto cut = get("/5").error;
    EXPECT_TRUE(cut == http_error::connection_lost || cut == http_error::connect_failed);
    EXPECT_EQ(handled_, handled);
    ASSERT_TRUE(
        proxy_->set_faults({{"mode", "delay"}, {"delay_ms", 100}, {"direction", "response"}}));
    EXPECT_GE(get("/6").elapsed.count(), 100.0);
    EXPECT_FALSE(proxy_->set_faults({{"mode", "nonsense"}}));
    EXPECT_GT(proxy_->counters()["faults"], 3);
}

// Guards against a freeze fault that does not stop open connections, or also stops new ones.
TEST_F(fault_proxy_test, freezes_open_connections_only)
{
    for (const char* direction : {"both", "request", "response"}) {
        EXPECT_EQ(get("/1").response.body, "/1");
        ASSERT_TRUE(proxy_->set_faults({{"mode", "freeze"}, {"direction", direction}}));
        EXPECT_EQ(get("/2", milliseconds{100}).error, http_error::timed_out) << direction;
        EXPECT_EQ(get("/3").response.body, "/3");
        ASSERT_TRUE(proxy_->set_faults({{"mode", "pass"}}));
    }
}

// Guards against a cross fault that does not swap the responses.
TEST_F(fault_proxy_test, swaps_two_responses)
{
    ASSERT_TRUE(proxy_->set_faults({{"mode", "cross"}}));
    auto other = std::async(std::launch::async, [&] { return get("/a").response.body; });
    EXPECT_EQ(get("/b").response.body, "/a");
    EXPECT_EQ(other.get(), "/b");
}

} // namespace
} // namespace chestnutstand::testing
