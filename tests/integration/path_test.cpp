#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

namespace chestnutstand::testing {
namespace {

// Guards against a path that works only within one process: two data centres, three services, two
// upstreams each, all processes separate; every service must be reachable through every node.
TEST(path, serves_every_service_through_every_node)
{
    fleet all;
    for (const char* data_centre : {"east", "west"}) {
        for (const char* service : {"alpha", "beta", "gamma"}) {
            all.add(data_centre, service);
        }
    }
    const auto verdict =
        all.publish(*all.members().front(), "platform", "main", 0,
                    section_content("platform", {"alpha", "beta", "gamma"}), "change-1");
    ASSERT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
    ASSERT_TRUE(all.wait_until_ready(6));

    std::set<std::string> answered;
    for (const auto& entry : all.members()) {
        for (const std::string service : {"alpha", "beta", "gamma"}) {
            const auto result = exchange(
                all.client(), entry->caller_port,
                {"POST", "/call/" + service + "/balance?id=7", {}, "payload of " + service});
            ASSERT_EQ(result.error, http_error::none);
            ASSERT_EQ(result.response.status, 200) << result.response.body;
            EXPECT_EQ(find_header(result.response.headers, header::outcome), "completed");
            const auto body = nlohmann::json::parse(result.response.body);
            EXPECT_EQ(body["service"], service);
            EXPECT_EQ(body["target"], "/balance?id=7");
            EXPECT_EQ(body["echo"], "payload of " + service);
            answered.insert(service);
        }
    }
    EXPECT_EQ(answered.size(), 3U);
}

/// One node with its upstream, ready to serve the service alpha.
fleet_member& start_one(fleet& all)
{
    auto& only = all.add("east", "alpha");
    const auto verdict = all.publish(only, "platform", "main", 0,
                                     section_content("platform", {"alpha"}), "change-1");
    EXPECT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
    EXPECT_TRUE(all.wait_until_ready(1));
    return only;
}

// Guards against headers of the caller's own connection that reach the upstream (RFC 9110, 7.6.1),
// and against headers of the caller that are lost.
TEST(path, passes_only_end_to_end_headers_on)
{
    fleet all;
    auto& only = start_one(all);
    const auto result = exchange(
        all.client(), only.caller_port,
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

// Guards against calls that occupy the upstream for a caller that has gone: the stub would take a
// minute, longer than this test waits.
TEST(path, cancels_the_call_of_a_caller_that_disconnects)
{
    fleet all;
    auto& only = start_one(all);
    ASSERT_TRUE(all.control(only.upstream_port, "/behaviour", {{"service_ms", 60'000}}));
    const auto result = exchange(all.client(), only.caller_port,
                                 {"GET", "/call/alpha/x", {{"Chestnut-Timeout-Ms", "600000"}}, ""},
                                 milliseconds{300});
    EXPECT_EQ(result.error, http_error::timed_out);
    EXPECT_TRUE(eventually([&] { return all.counters(only)["executions"] == 1; }));
    EXPECT_TRUE(eventually([&] { return all.status(only)["load"]["in_flight"] == 0; }));
}

// Guards against a planned stop that does not end with exit status 0.
TEST(path, stops_gracefully_on_sigterm)
{
    fleet all;
    auto& only = all.add("east", "alpha");
    only.node->signal(SIGTERM);
    EXPECT_EQ(only.node->wait(), 0);
}

// Guards against settings that change only with a restart, with a signal or without one.
TEST(path, follows_its_settings_file)
{
    fleet all;
    auto& only = all.add("east", "alpha");
    const auto file = all.directory() / "node-0.json";
    const auto change = [&](const char* key, const nlohmann::json& value) {
        auto changed = nlohmann::json::parse(std::ifstream{file});
        changed[key] = value;
        const auto next = all.directory() / "next.json";
        std::ofstream{next} << changed.dump();
        std::filesystem::rename(next, file);
    };
    const auto reloaded = [&](const std::string& key) {
        return only.node->wait_for_line([&](const auto& fields) {
            return fields.value("message", "") == "settings reloaded" &&
                   fields.value("changed", "") == key;
        });
    };
    change("lame_duck_ms", 100);
    only.node->signal(SIGHUP);
    EXPECT_TRUE(reloaded("lame_duck_ms"));
    change("origin_service", "beta");
    const auto without_signal = reloaded("origin_service");
    ASSERT_TRUE(without_signal);
    EXPECT_EQ(without_signal->value("after_restart", ""), "origin_service");
    only.node->signal(SIGTERM);
    EXPECT_EQ(only.node->wait(), 0);
}

} // namespace
} // namespace chestnutstand::testing
