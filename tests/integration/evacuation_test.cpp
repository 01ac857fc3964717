#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

/// Nodes in two data centres that read their document from a keyed store.
class evacuation : public ::testing::Test {
protected:
    evacuation() : store_{STUB_STORE_PROGRAM, {}}
    {
        store_port_ = announced_port(store_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port_)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"}};
        write_document(1, "/view/");
        fleet_.add("east", "alpha");
        fleet_.add("west", "alpha");
        fleet_.add("west", "");
    }

    void write_document(int version, const std::string& prefix)
    {
        const nlohmann::json document{{"version", version},
                                      {"services", {{{"name", "alpha"}}}},
                                      {"routes",
                                       {{{"name", "view"},
                                         {"host", "shop.example"},
                                         {"path_prefix", prefix},
                                         {"service", "alpha"},
                                         {"kind", "idempotent"},
                                         {"timeout_ms", 5'000},
                                         {"latency_target_ms", 2'500},
                                         {"attempts", 2}}}}};
        put("document", document.dump());
    }

    void put(const std::string& control, const std::string& body = "")
    {
        const auto result =
            exchange(fleet_.client(), store_port_, {"PUT", "/control/" + control, {}, body});
        ASSERT_EQ(result.response.status, 200) << control;
    }

    /// Sends a request to each node; whether all responses have this status.
    bool all_return(const std::string& target, int status)
    {
        const auto& nodes = fleet_.members();
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            const auto result =
                exchange(fleet_.client(), node->caller_port,
                         {"GET", target, {{"Host", "shop.example"}}, ""}, milliseconds{5'000});
            return result.error == http_error::none && result.response.status == status;
        });
    }

    std::uint64_t executions(std::size_t index)
    {
        return fleet_.counters(*fleet_.members()[index])["executions"].get<std::uint64_t>();
    }

    /// Requests of all nodes that reach the upstream in the west.
    std::uint64_t reach_west(const std::string& target)
    {
        constexpr int rounds = 10;
        const auto before = executions(west);
        for (int i = 0; i < rounds; ++i) {
            EXPECT_TRUE(all_return(target, 200));
        }
        return executions(west) - before;
    }

    /// Whether the node beside the upstream in the west treats its data centre as evacuated.
    bool is_west_evacuated()
    {
        const auto result = exchange(fleet_.client(), fleet_.members()[west]->admin_port,
                                     {"GET", "/metrics", {}, ""});
        return result.response.body.find("chestnutstand_data_centre_evacuated 1") !=
               std::string::npos;
    }

    /// Waits for the log line of a change at each node.
    void wait_for_change(const std::string& names)
    {
        for (const auto& node : fleet_.members()) {
            EXPECT_TRUE(node->node->wait_for_line([&](const auto& fields) {
                return fields.value("message", "") == "evacuated data centres changed" &&
                       fields.value("evacuated", "-") == names;
            }));
        }
        // The routing table follows within its publication interval.
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
    }

    static constexpr std::size_t west = 1;
    process store_;
    std::uint16_t store_port_ = 0;
    fleet fleet_;
};

// Guards against requests that reach the upstreams of an evacuated data centre, from nodes of both
// data centres and from one that starts later, and against one that stays evacuated for ever.
TEST_F(evacuation, data_centre_gets_no_requests_until_it_is_revoked)
{
    ASSERT_TRUE(eventually([&] { return all_return("/view/1", 200) && executions(west) > 0; }));
    put("evacuate/west", "{}");
    wait_for_change("west");
    EXPECT_EQ(reach_west("/view/1"), 0U);
    fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return all_return("/view/1", 200); }));
    EXPECT_EQ(reach_west("/view/1"), 0U);
    put("evacuate/west", "");
    wait_for_change("");
    EXPECT_TRUE(eventually([&] { return reach_west("/view/1") > 0; }));
}

// Guards against a document, an evacuation or the members that are forgotten when the store comes
// back from an older copy of itself, before and after the operator has written its records again.
TEST_F(evacuation, outlasts_a_rollback_of_the_store)
{
    constexpr std::chrono::milliseconds longer_than_rewrite_time{6'000};
    ASSERT_TRUE(eventually([&] { return all_return("/view/1", 200) && executions(west) > 0; }));
    write_document(2, "/other/");
    put("evacuate/west", "{}");
    wait_for_change("west");
    ASSERT_TRUE(eventually([&] { return all_return("/other/1", 200); }));
    put("rollback?Records=2");
    for (const auto& node : fleet_.members()) {
        EXPECT_TRUE(node->node->wait_for_line([](const auto& fields) {
            return fields.value("message", "") == "store came back from an older copy";
        }));
    }
    // Without the time that the operator gets to write its records again, the executor would follow
    // the older copy with its next poll.
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    EXPECT_TRUE(is_west_evacuated());
    EXPECT_EQ(reach_west("/other/1"), 0U);
    write_document(2, "/other/");
    put("evacuate/west", "{}");
    std::this_thread::sleep_for(longer_than_rewrite_time);
    EXPECT_EQ(reach_west("/other/1"), 0U);
    fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return all_return("/other/1", 200); }));
    EXPECT_EQ(reach_west("/other/1"), 0U);
}

} // namespace
} // namespace chestnutstand::testing
