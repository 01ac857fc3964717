#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr milliseconds gossip_limit{60'000};
constexpr std::size_t caller_count = 6;

class node_failure : public ::testing::Test {
protected:
    /// Starts nodes of the service alpha in one data centre, with a document in force.
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            all_.add("east", "alpha");
        }
        const auto verdict = all_.publish(node(0), "platform", "main", 0,
                                          section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
        ASSERT_TRUE(all_.wait_until_ready(count));
    }

    fleet_member& node(std::size_t index) { return *all_.members()[index]; }

    /// Members of the service in one of the states, as a node reports them.
    std::size_t count_members(fleet_member& observer, const std::vector<std::string>& states)
    {
        const auto status = all_.status(observer);
        std::size_t count = 0;
        for (const auto& each : status.is_object() ? status["members"] : nlohmann::json::array()) {
            const bool wanted =
                std::find(states.begin(), states.end(), each["state"]) != states.end();
            count += wanted && each["service"] == "alpha" ? 1U : 0U;
        }
        return count;
    }

    http_result call(fleet_member& through)
    {
        return exchange(all_.client(), through.caller_port,
                        {"POST", "/call/alpha/balance", {}, "payload"});
    }

    std::uint64_t executions(fleet_member& of)
    {
        return all_.counters(of).value("executions", std::uint64_t{0});
    }

    /// Calls through a node until the upstream of another one has run one of them.
    bool is_reached(fleet_member& through, fleet_member& target)
    {
        const std::uint64_t before = executions(target);
        return eventually(
            [&] {
                call(through);
                return executions(target) > before;
            },
            gossip_limit);
    }

    /// Value of a counter in the metrics of a node; 0 when it is absent.
    std::uint64_t counter(fleet_member& of, const std::string& name)
    {
        const auto result = exchange(all_.client(), of.admin_port, {"GET", "/metrics", {}, ""});
        const auto found = result.response.body.find("\n" + name + " ");
        if (found == std::string::npos) {
            return 0;
        }
        return std::strtoull(result.response.body.c_str() + found + name.size() + 2, nullptr, 10);
    }

    fleet all_;
};

// Guards against peers that keep sending calls to a node that was killed.
TEST_F(node_failure, killed_node_gets_no_more_calls)
{
    start(3);
    node(2).node->kill();
    for (const std::size_t peer : {0U, 1U}) {
        EXPECT_TRUE(eventually(
            [&] {
                return count_members(node(peer), {"alive", "suspect"}) == 2;
            },
            gossip_limit));
    }
    for (int i = 0; i < 30; ++i) {
        const auto result = call(node(0));
        ASSERT_EQ(result.response.status, 200) << result.response.body;
    }
}

// Guards against a node that was paused longer than the suspicion time and never gets calls again.
TEST_F(node_failure, paused_node_comes_back)
{
    start(3);
    node(2).node->signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return count_members(node(0), {"dead"}) == 1; }, gossip_limit))
        << all_.status(node(0)) << "\n"
        << node(0).node->describe() << node(1).node->describe() << node(2).node->describe();
    node(2).node->signal(SIGCONT);
    for (const std::size_t peer : {0U, 1U, 2U}) {
        EXPECT_TRUE(
            eventually([&] { return count_members(node(peer), {"alive"}) == 3; }, gossip_limit));
    }
    EXPECT_TRUE(is_reached(node(0), node(2)));
}

// Guards against nodes of two clusters that take each other for members, as when the port of a
// killed node is used again.
TEST_F(node_failure, nodes_of_another_cluster_do_not_join)
{
    start(1);
    fleet other;
    other.extra_settings()["seeds"] =
        nlohmann::json::array({{{"address", "127.0.0.1"}, {"gossip_port", node(0).gossip_port}}});
    other.add("east", "alpha");
    EXPECT_TRUE(node(0).node->wait_for_line([](const auto& fields) {
        return fields.value("message", "") == "message of another cluster dropped";
    }));
    EXPECT_EQ(count_members(node(0), {"alive"}), 1U);
    EXPECT_EQ(other.status(*other.members()[0])["members"].size(), 1U);
}

// Guards against a cluster that loses members or cannot grow while the log is down.
TEST_F(node_failure, gossip_goes_on_without_the_log_and_a_node_joins_by_seed)
{
    start(2);
    all_.log().kill();
    all_.extra_settings()["seeds"] =
        nlohmann::json::array({{{"address", "127.0.0.1"}, {"gossip_port", node(0).gossip_port}}});
    all_.add("east", "alpha");
    ASSERT_TRUE(all_.wait_until_ready(3));
    EXPECT_TRUE(is_reached(node(2), node(0)));
    EXPECT_TRUE(is_reached(node(1), node(2)));
    node(1).node->kill();
    EXPECT_TRUE(eventually([&] { return count_members(node(2), {"dead"}) == 1; }, gossip_limit));
}

// Guards against a planned stop that aborts calls in flight, lets new work reach the upstream later
// than 3 s after it began, or does not end with exit status 0.
TEST_F(node_failure, drain_under_load_aborts_nothing)
{
    start(2);
    ASSERT_TRUE(all_.control(node(1).upstream_port, "/behaviour", {{"service_ms", 300}}));
    ASSERT_TRUE(all_.control(node(0).upstream_port, "/behaviour", {{"service_ms", 50}}));
    ASSERT_TRUE(is_reached(node(0), node(1)));
    const std::uint64_t before = executions(node(0)) + executions(node(1));
    std::atomic<bool> stop{false};
    std::atomic<int> completed{0};
    std::atomic<int> other{0};
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                const auto result = call(node(0));
                ++(result.response.status == 200 ? completed : other);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    node(1).node->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    const std::uint64_t at_limit = all_.counters(node(1)).value("attempts", std::uint64_t{0});
    std::this_thread::sleep_for(std::chrono::seconds{2});
    stop = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(all_.counters(node(1)).value("attempts", std::uint64_t{0}), at_limit);
    EXPECT_EQ(node(1).node->wait(), 0);
    EXPECT_GT(completed, 0);
    EXPECT_EQ(other, 0);
    // An aborted call of this idempotent class would have been retried and run twice. Only hedged
    // requests may run in addition.
    const std::uint64_t ran = executions(node(0)) + executions(node(1)) - before;
    const std::uint64_t hedges = counter(node(0), "chestnutstand_hedges_total");
    EXPECT_GE(ran, static_cast<std::uint64_t>(completed));
    EXPECT_LE(ran, static_cast<std::uint64_t>(completed) + hedges);
    for (const char* lost :
         {"peer_connection_lost", "upstream_connection_lost", "upstream_answer_truncated"}) {
        const std::string name =
            std::string{"chestnutstand_retries_total{reason=\""} + lost + "\"}";
        EXPECT_EQ(counter(node(0), name), 0U) << name;
    }
}

} // namespace
} // namespace chestnutstand::testing
