#include "../support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace chestnutstand::testing {
namespace {

/// A node that was started again, beside an upstream process that was at work before. Its store has
/// no document until the test writes one.
class restarted_node : public ::testing::Test {
protected:
    restarted_node()
        : store_{STUB_STORE_PROGRAM, {}}, upstream_{STUB_UPSTREAM_PROGRAM, {"--service", "alpha"}}
    {
        store_port_ = announced_port(store_);
        upstream_port_ = announced_port(upstream_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port_)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"}};
        node_ = &fleet_.add("east", "");
    }

    void write_document(const std::string& health_path)
    {
        const nlohmann::json document{
            {"version", 1},
            {"services", {{{"name", "alpha"}, {"health_path", health_path}}}},
            {"routes",
             {{{"name", "view"},
               {"host", "shop.example"},
               {"path_prefix", "/"},
               {"service", "alpha"},
               {"kind", "idempotent"},
               {"timeout_ms", 5'000},
               {"latency_target_ms", 1'000},
               {"attempts", 1}}}}};
        const auto result = exchange(fleet_.client(), store_port_,
                                     {"PUT", "/control/document", {}, document.dump()});
        ASSERT_EQ(result.response.status, 200);
        ASSERT_TRUE(node_->node->wait_for_line(
            [](const auto& fields) { return fields.value("message", "") == "document in force"; }));
    }

    /// A leaving upstream answers 503 to everything, also at its health path.
    void set_leaving(bool leaving)
    {
        ASSERT_TRUE(fleet_.control(upstream_port_, "/behaviour", {{"shed", leaving}}));
    }

    /// Sends a heartbeat of a process that started before the node.
    void send_heartbeat(int sequence)
    {
        const nlohmann::json heartbeat{
            {"service", "alpha"},   {"address", "127.0.0.1:" + std::to_string(upstream_port_)},
            {"slots", 4},           {"state", "ready"},
            {"sequence", sequence}, {"born", 1'000}};
        const auto result = exchange(fleet_.client(), node_->admin_port,
                                     {"PUT", "/upstreams/i-1", {}, heartbeat.dump()});
        ASSERT_EQ(result.response.status, 200);
    }

    /// Whether the node asked the upstream and got this answer.
    bool asked(bool healthy)
    {
        return node_->node
            ->wait_for_line([&](const auto& fields) {
                return fields.value("message", "") == "upstream asked before its admission" &&
                       fields.value("healthy", !healthy) == healthy;
            })
            .has_value();
    }

    int status()
    {
        const auto result = exchange(fleet_.client(), node_->caller_port,
                                     {"GET", "/", {{"Host", "shop.example"}}, ""});
        return result.error == http_error::none ? result.response.status : 0;
    }

    process store_;
    process upstream_;
    std::uint16_t store_port_ = 0;
    std::uint16_t upstream_port_ = 0;
    fleet fleet_;
    fleet_member* node_ = nullptr;
};

// Guards against requests to an upstream that left before the node was started again: a delayed
// heartbeat reaches the node before its document does.
TEST_F(restarted_node, asks_an_upstream_that_it_met_before_its_document)
{
    set_leaving(true);
    send_heartbeat(4);
    write_document("/health");
    EXPECT_TRUE(asked(false));
    set_leaving(false);
    // Only the admission decides now; the upstream would serve the request.
    EXPECT_EQ(status(), 503);
    send_heartbeat(5);
    EXPECT_TRUE(asked(true));
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
}

// Guards against the same where the document comes first.
TEST_F(restarted_node, asks_an_upstream_that_it_meets_after_its_document)
{
    set_leaving(true);
    write_document("/health");
    send_heartbeat(4);
    EXPECT_TRUE(asked(false));
    set_leaving(false);
    EXPECT_EQ(status(), 503);
}

// Guards against admitting an upstream on one delayed heartbeat where there is no way to ask it,
// and against never admitting it.
TEST_F(restarted_node, needs_several_heartbeats_of_an_upstream_without_a_health_path)
{
    // An admission is in the routing table within its publication interval.
    constexpr std::chrono::milliseconds publication_time{500};
    write_document("");
    for (const int sequence : {4, 5}) {
        send_heartbeat(sequence);
        std::this_thread::sleep_for(publication_time);
        EXPECT_EQ(status(), 503);
    }
    send_heartbeat(6);
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
}

} // namespace
} // namespace chestnutstand::testing
