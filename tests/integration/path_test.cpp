#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <csignal>
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

// Guards against a planned stop that does not end with exit status 0.
TEST(path, stops_gracefully_on_sigterm)
{
    fleet all;
    auto& only = all.add("east", "alpha");
    only.node->signal(SIGTERM);
    EXPECT_EQ(only.node->wait(), 0);
}

} // namespace
} // namespace chestnutstand::testing
