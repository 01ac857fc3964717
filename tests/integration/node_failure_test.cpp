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
    /// Starts nodes of the service alpha in one data centre, publishes a document and waits until
    /// it is in force.
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            fleet_.add("east", "alpha");
        }
        const auto publish_result = fleet_.publish(
            node(0), "platform", "main", 0, section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
            << publish_result;
        ASSERT_TRUE(fleet_.wait_until_ready(count));
    }

    fleet_member& node(std::size_t index) { return *fleet_.members()[index]; }

    /// Returns the number of members of the service alpha that a node reports in one of the states.
    std::size_t count_members(fleet_member& observer, const std::vector<std::string>& states)
    {
        const auto status = fleet_.status(observer);
        std::size_t count = 0;
        for (const auto& member :
             status.is_object() ? status["members"] : nlohmann::json::array()) {
            const bool is_counted =
                std::find(states.begin(), states.end(), member["state"]) != states.end();
            count += is_counted && member["service"] == "alpha" ? 1U : 0U;
        }
        return count;
    }

    http_result call(fleet_member& ingress)
    {
        return exchange(fleet_.client(), ingress.caller_port,
                        {"POST", "/call/alpha/balance", {}, "payload"});
    }

    std::uint64_t executions(fleet_member& member)
    {
        return fleet_.counters(member).value("executions", std::uint64_t{0});
    }

    /// Sends calls through a node until the upstream of the target node has run one of them.
    /// Returns whether that happened in time.
    bool is_reached(fleet_member& ingress, fleet_member& target)
    {
        const std::uint64_t before = executions(target);
        return eventually(
            [&] {
                call(ingress);
                return executions(target) > before;
            },
            gossip_limit);
    }

    /// Returns the value of a counter in the metrics of a node; 0 if it is absent.
    std::uint64_t counter(fleet_member& member, const std::string& name)
    {
        const auto result =
            exchange(fleet_.client(), member.admin_port, {"GET", "/metrics", {}, ""});
        const auto position = result.response.body.find("\n" + name + " ");
        if (position == std::string::npos) {
            return 0;
        }
        return std::strtoull(result.response.body.c_str() + position + name.size() + 2, nullptr,
                             10);
    }

    fleet fleet_;
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

// Guards against a node that gets no calls after a pause longer than the suspicion timeout.
TEST_F(node_failure, paused_node_gets_calls_again)
{
    start(3);
    node(2).node->signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return count_members(node(0), {"dead"}) == 1; }, gossip_limit))
        << fleet_.status(node(0)) << "\n"
        << node(0).node->describe() << node(1).node->describe() << node(2).node->describe();
    node(2).node->signal(SIGCONT);
    for (const std::size_t peer : {0U, 1U, 2U}) {
        EXPECT_TRUE(
            eventually([&] { return count_members(node(peer), {"alive"}) == 3; }, gossip_limit));
    }
    EXPECT_TRUE(is_reached(node(0), node(2)));
}

// Guards against nodes of two clusters that accept each other as members. This can happen when a
// node of another cluster reuses the port of a killed node.
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
TEST_F(node_failure, gossip_continues_without_the_log_and_a_node_joins_by_seed)
{
    start(2);
    fleet_.log().kill();
    fleet_.extra_settings()["seeds"] =
        nlohmann::json::array({{{"address", "127.0.0.1"}, {"gossip_port", node(0).gossip_port}}});
    fleet_.add("east", "alpha");
    ASSERT_TRUE(fleet_.wait_until_ready(3));
    EXPECT_TRUE(is_reached(node(2), node(0)));
    EXPECT_TRUE(is_reached(node(1), node(2)));
    node(1).node->kill();
    EXPECT_TRUE(eventually([&] { return count_members(node(2), {"dead"}) == 1; }, gossip_limit));
}

// Guards against a graceful stop that aborts calls in flight, still sends new work to the upstream
// 3 s after it began, or does not end with exit status 0.
TEST_F(node_failure, drain_under_load_aborts_nothing)
{
    start(2);
    ASSERT_TRUE(fleet_.control(node(1).upstream_port, "/behaviour", {{"service_ms", 300}}));
    ASSERT_TRUE(fleet_.control(node(0).upstream_port, "/behaviour", {{"service_ms", 50}}));
    ASSERT_TRUE(is_reached(node(0), node(1)));
    const std::uint64_t before = executions(node(0)) + executions(node(1));
    std::atomic<bool> stop{false};
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                const auto result = call(node(0));
                ++(result.response.status == 200 ? completed : failed);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    node(1).node->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    const std::uint64_t attempts_at_limit =
        fleet_.counters(node(1)).value("attempts", std::uint64_t{0});
    std::this_thread::sleep_for(std::chrono::seconds{2});
    stop = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(fleet_.counters(node(1)).value("attempts", std::uint64_t{0}), attempts_at_limit);
    EXPECT_EQ(node(1).node->wait(), 0);
    EXPECT_GT(completed, 0);
    EXPECT_EQ(failed, 0);
    // An aborted call of this idempotent class would have been retried and run twice. Only hedged
    // requests may add executions.
    const std::uint64_t ran = executions(node(0)) + executions(node(1)) - before;
    const std::uint64_t hedges = counter(node(0), "chestnutstand_hedges_total");
    EXPECT_GE(ran, static_cast<std::uint64_t>(completed));
    EXPECT_LE(ran, static_cast<std::uint64_t>(completed) + hedges);
    for (const char* reason :
         {"peer_connection_lost", "upstream_connection_lost", "upstream_answer_truncated"}) {
        const std::string name =
            std::string{"chestnutstand_retries_total{reason=\""} + reason + "\"}";
        EXPECT_EQ(counter(node(0), name), 0U) << name;
    }
}

} // namespace
} // namespace chestnutstand::testing
