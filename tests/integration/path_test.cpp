#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

namespace chestnutstand::testing {
namespace {

// Guards against a service that is not reachable through every node. Runs two data centres and
// three services with two upstreams each, all as separate processes.
TEST(path, serves_every_service_through_every_node)
{
    fleet test_fleet;
    for (const char* data_centre : {"east", "west"}) {
        for (const char* service : {"alpha", "beta", "gamma"}) {
            test_fleet.add(data_centre, service);
        }
    }
    const auto publish_result =
        test_fleet.publish(*test_fleet.members().front(), "platform", "main", 0,
                           section_content("platform", {"alpha", "beta", "gamma"}), "change-1");
    ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
        << publish_result;
    ASSERT_TRUE(test_fleet.wait_until_ready(6));

    std::set<std::string> reached_services;
    for (const auto& member : test_fleet.members()) {
        for (const std::string service : {"alpha", "beta", "gamma"}) {
            const auto result = exchange(
                test_fleet.client(), member->caller_port,
                {"POST", "/call/" + service + "/balance?id=7", {}, "payload of " + service});
            ASSERT_EQ(result.error, http_error::none);
            ASSERT_EQ(result.response.status, 200) << result.response.body;
            EXPECT_EQ(find_header(result.response.headers, header::outcome), "completed");
            const auto body = nlohmann::json::parse(result.response.body);
            EXPECT_EQ(body["service"], service);
            EXPECT_EQ(body["target"], "/balance?id=7");
            EXPECT_EQ(body["echo"], "payload of " + service);
            reached_services.insert(service);
        }
    }
    EXPECT_EQ(reached_services.size(), 3U);
}

/// Starts a node with its upstream and waits until it is ready to serve the service alpha.
fleet_member& start_ready_node(fleet& test_fleet)
{
    auto& node = test_fleet.add("east", "alpha");
    const auto publish_result = test_fleet.publish(
        node, "platform", "main", 0, section_content("platform", {"alpha"}), "change-1");
    EXPECT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
        << publish_result;
    EXPECT_TRUE(test_fleet.wait_until_ready(1));
    return node;
}

// Guards against hop-by-hop headers that reach the upstream (RFC 9110, 7.6.1), and against
// end-to-end headers that do not.
TEST(path, passes_only_end_to_end_headers_on)
{
    fleet test_fleet;
    auto& node = start_ready_node(test_fleet);
    const auto result = exchange(
        test_fleet.client(), node.caller_port,
        {"GET",
         "/call/alpha/x",
         {{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"TE", "trailers"}, {"X-Kept", "1"}},
         ""});
    ASSERT_EQ(result.response.status, 200) << result.response.body;
    const auto body = nlohmann::json::parse(result.response.body);
    const std::set<std::string> received = body["headers"];
    EXPECT_TRUE(received.contains("x-kept"));
    EXPECT_FALSE(received.contains("x-hop"));
    EXPECT_FALSE(received.contains("te"));
    EXPECT_EQ(body["depth"], "1");
}

// Guards against calls that occupy the upstream after their caller disconnected. The stub takes a
// minute for a request, longer than this test waits.
TEST(path, cancels_the_call_of_a_caller_that_disconnects)
{
    fleet test_fleet;
    auto& node = start_ready_node(test_fleet);
    ASSERT_TRUE(test_fleet.control(node.upstream_port, "/behaviour", {{"service_ms", 60'000}}));
    const auto result = exchange(test_fleet.client(), node.caller_port,
                                 {"GET", "/call/alpha/x", {{"Chestnut-Timeout-Ms", "600000"}}, ""},
                                 milliseconds{300});
    EXPECT_EQ(result.error, http_error::timed_out);
    EXPECT_TRUE(eventually([&] { return test_fleet.counters(node)["executions"] == 1; }));
    EXPECT_TRUE(eventually([&] { return test_fleet.status(node)["load"]["in_flight"] == 0; }));
}

// Guards against a graceful stop that does not end with exit status 0.
TEST(path, stops_gracefully_on_sigterm)
{
    fleet test_fleet;
    auto& node = test_fleet.add("east", "alpha");
    node.node->signal(SIGTERM);
    EXPECT_EQ(node.node->wait(), 0);
}

// Guards against a node that does not reload a changed settings file, on SIGHUP or on its own.
TEST(path, follows_its_settings_file)
{
    fleet test_fleet;
    auto& node = test_fleet.add("east", "alpha");
    const auto file = test_fleet.directory() / "node-0.json";
    const auto change_setting = [&](const char* key, const nlohmann::json& value) {
        auto changed = nlohmann::json::parse(std::ifstream{file});
        changed[key] = value;
        const auto next = test_fleet.directory() / "next.json";
        std::ofstream{next} << changed.dump();
        std::filesystem::rename(next, file);
    };
    const auto reloaded = [&](const std::string& key) {
        return node.node->wait_for_line([&](const auto& fields) {
            return fields.value("message", "") == "settings reloaded" &&
                   fields.value("changed", "") == key;
        });
    };
    change_setting("lame_duck_ms", 100);
    node.node->signal(SIGHUP);
    EXPECT_TRUE(reloaded("lame_duck_ms"));
    change_setting("origin_service", "beta");
    const auto without_signal = reloaded("origin_service");
    ASSERT_TRUE(without_signal);
    EXPECT_EQ(without_signal->value("after_restart", ""), "origin_service");
    node.node->signal(SIGTERM);
    EXPECT_EQ(node.node->wait(), 0);
}

} // namespace
} // namespace chestnutstand::testing
