#include "../support/fleet.h"
#include "../support/proxy.h"
#include "../support/registrar.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr int calls_per_fault = 16;
constexpr milliseconds call_timeout{1'000};

/// Number of calls under one fault by outcome.
struct call_counts {
    int completed = 0;
    int not_run = 0;
    int unknown = 0;
};

/// One node whose connections to its caller and to its upstream pass through proxies.
class link_faults_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        history_ = (fleet_.directory() / "history").string();
        node_ = &fleet_.add("east", "");
        upstream_ = std::make_unique<process>(
            STUB_UPSTREAM_PROGRAM, std::vector<std::string>{"--service", "alpha", "--slots", "100",
                                                            "--history", history_});
        const auto started_line =
            upstream_->wait_for_line([](const auto& fields) { return fields.contains("port"); });
        ASSERT_TRUE(started_line);
        upstream_port_ = (*started_line)["port"].get<std::uint16_t>();
        upstream_link_ = std::make_unique<proxy>(upstream_port_);
        caller_link_ = std::make_unique<proxy>(node_->caller_port);
        registrar_ = std::make_unique<registrar>(fleet_, node_->admin_port, upstream_link_->port());
        const auto publish_result = fleet_.publish(
            *node_, "platform", "main", 0, section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
            << publish_result;
        ASSERT_TRUE(serves_calls());
    }

    void TearDown() override { registrar_.reset(); }

    std::future<http_result> send_call(const std::string& payload)
    {
        auto promise = std::make_shared<std::promise<http_result>>();
        http_request request{"POST", "/call/alpha/of/" + payload, {}, payload};
        request.headers.push_back(
            {std::string{header::timeout_ms}, std::to_string(std::lround(call_timeout.count()))});
        fleet_.client().send("http://127.0.0.1:" + std::to_string(caller_link_->port()),
                             std::move(request), call_timeout * 5, [promise](http_result result) {
                                 promise->set_value(std::move(result));
                             });
        return promise->get_future();
    }

    /// Checks one response and counts its outcome.
    void check_response(const std::string& payload, const http_result& result, call_counts& counts)
    {
        const auto outcome = find_header(result.response.headers, header::outcome);
        if (result.error != http_error::none) {
            ++counts.unknown;
            return;
        }
        ASSERT_TRUE(outcome) << result.response.status << result.response.body;
        if (*outcome == "completed") {
            ++counts.completed;
            const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
            ASSERT_TRUE(body.is_object()) << "incomplete response: " << result.response.body;
            EXPECT_EQ(body["echo"], payload) << "the response to another call";
            EXPECT_EQ(body["target"], "/of/" + payload);
        }
        else if (*outcome == "not-run") {
            ++counts.not_run;
            not_run_.insert(payload);
        }
        else {
            ++counts.unknown;
        }
    }

    call_counts run_calls()
    {
        std::vector<std::pair<std::string, std::future<http_result>>> pending;
        for (int i = 0; i < calls_per_fault; ++i) {
            auto payload = "payload-" + std::to_string(next_payload_++);
            auto result = send_call(payload);
            pending.emplace_back(std::move(payload), std::move(result));
        }
        call_counts counts;
        for (auto& [payload, result] : pending) {
            check_response(payload, result.get(), counts);
        }
        return counts;
    }

    bool serves_calls()
    {
        return eventually([&] {
            const auto result = send_call("check").get();
            return result.error == http_error::none && result.response.status == 200;
        });
    }

    /// Returns the payloads of the requests that the upstream executed.
    std::set<std::string> executed() const
    {
        std::set<std::string> payloads;
        std::ifstream lines{history_};
        for (std::string line; std::getline(lines, line);) {
            payloads.insert(nlohmann::json::parse(line)["payload"].get<std::string>());
        }
        return payloads;
    }

    void check_faults(proxy& link, const std::vector<nlohmann::json>& faults)
    {
        for (const auto& fault : faults) {
            SCOPED_TRACE(fault.dump());
            ASSERT_TRUE(link.set_faults(fault));
            const auto counts = run_calls();
            ASSERT_TRUE(link.set_faults({{"mode", "pass"}}));
            EXPECT_TRUE(serves_calls());
            std::printf("%-55s completed %d, not-run %d, unknown %d\n", fault.dump().c_str(),
                        counts.completed, counts.not_run, counts.unknown);
        }
        const auto executed_payloads = executed();
        for (const auto& payload : not_run_) {
            EXPECT_EQ(executed_payloads.count(payload), 0U)
                << payload << " was reported as not-run, but it ran";
        }
    }

    fleet fleet_;
    std::string history_;
    fleet_member* node_ = nullptr;
    std::unique_ptr<process> upstream_;
    std::uint16_t upstream_port_ = 0;
    std::unique_ptr<proxy> upstream_link_;
    std::unique_ptr<proxy> caller_link_;
    std::unique_ptr<registrar> registrar_;
    std::set<std::string> not_run_;
    int next_payload_ = 0;
};

std::vector<nlohmann::json> all_faults()
{
    return {{{"mode", "pass"}},
            {{"mode", "cut"}},
            {{"mode", "delay"}, {"delay_ms", 50}},
            {{"mode", "freeze"}},
            {{"mode", "freeze"}, {"direction", "request"}},
            {{"mode", "freeze"}, {"direction", "response"}},
            {{"mode", "drop_response"}},
            {{"mode", "truncate"}, {"bytes", 30}},
            {{"mode", "truncate"}, {"bytes", 150}},
            {{"mode", "truncate"}, {"bytes", 250}}};
}

// Guards against responses that are truncated, belong to another call, or report not-run for a call
// that ran, when the connections between node and upstream are faulty.
TEST_F(link_faults_test, between_node_and_upstream)
{
    auto faults = all_faults();
    faults.push_back({{"mode", "cross"}});
    check_faults(*upstream_link_, faults);
}

// Guards against the same for the connections between caller and node. Swapped responses are left
// out: the node cannot detect that a caller receives the bytes of another caller's response.
TEST_F(link_faults_test, between_caller_and_node)
{
    check_faults(*caller_link_, all_faults());
}

struct malformed_input {
    const char* description;
    std::vector<http_header> headers;
    std::string target;
    int status;
};

// Guards against invalid calls that reach an upstream, or are refused without the right status,
// outcome and reason.
TEST_F(link_faults_test, invalid_calls_reach_no_upstream)
{
    const auto attempt_count = [&] {
        return nlohmann::json::parse(
                   exchange(fleet_.client(), upstream_port_, {"GET", "/counters", {}, ""})
                       .response.body)["attempts"]
            .get<int>();
    };
    const int before = attempt_count();
    const std::vector<malformed_input> inputs{
        {"unknown service", {}, "/call/nobody/x", 404},
        {"no service", {}, "/call/", 400},
        {"other path", {}, "/nothing", 400},
        {"unknown class", {{"Chestnut-Priority", "none"}}, "/call/alpha/x", 400},
        {"timeout 0", {{"Chestnut-Timeout-Ms", "0"}}, "/call/alpha/x", 400},
        {"negative timeout", {{"Chestnut-Timeout-Ms", "-1"}}, "/call/alpha/x", 400},
        {"long timeout", {{"Chestnut-Timeout-Ms", "600001"}}, "/call/alpha/x", 400},
        {"timeout text", {{"Chestnut-Timeout-Ms", "1s"}}, "/call/alpha/x", 400},
        {"depth", {{"Chestnut-Depth", "26"}}, "/call/alpha/x", 400},
        {"budget", {{"Chestnut-Retry-Budget", "x"}}, "/call/alpha/x", 400},
        {"no key", {{"Chestnut-Priority", "write"}}, "/call/alpha/x", 428},
        {"large header", {{"X", std::string(17'000, 'x')}}, "/call/alpha/x", 431},
    };
    for (const auto& input : inputs) {
        const auto result = exchange(fleet_.client(), node_->caller_port,
                                     {"POST", input.target, input.headers, "x"});
        EXPECT_EQ(result.response.status, input.status)
            << input.description << result.response.body;
        EXPECT_EQ(find_header(result.response.headers, "content-type"), "application/problem+json");
        EXPECT_TRUE(find_header(result.response.headers, header::outcome)) << input.description;
        EXPECT_TRUE(find_header(result.response.headers, header::reason)) << input.description;
    }
    const auto large = exchange(fleet_.client(), node_->caller_port,
                                {"POST", "/call/alpha/x", {}, std::string(1'048'577, 'x')});
    EXPECT_EQ(large.response.status, 413);
    EXPECT_EQ(attempt_count(), before);
}

} // namespace
} // namespace chestnutstand::testing
