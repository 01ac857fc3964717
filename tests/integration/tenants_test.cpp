#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr const char* old_key = "old-key-of-acme";
constexpr const char* new_key = "new-key-of-acme";

/// Nodes whose document lists tenants.
class tenants : public ::testing::Test {
protected:
    tenants() : store_{STUB_STORE_PROGRAM, {}}
    {
        store_port_ = announced_port(store_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port_)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"},
                                   {"headers", {{"tenant", "Tenant"}}}};
    }

    void write_document(int version, const std::vector<std::string>& keys,
                        const std::string& kind = "idempotent")
    {
        write_tenants(version, nlohmann::json{{{"name", "acme"}, {"keys", keys}}}, kind);
    }

    void write_tenants(int version, const nlohmann::json& tenants,
                       const std::string& kind = "idempotent")
    {
        const nlohmann::json document{{"version", version},
                                      {"services", {{{"name", "alpha"}}}},
                                      {"routes",
                                       {{{"name", "view"},
                                         {"host", "shop.example"},
                                         {"path_prefix", "/view/"},
                                         {"service", "alpha"},
                                         {"kind", kind},
                                         {"timeout_ms", 20'000},
                                         {"latency_target_ms", 10'000},
                                         {"attempts", 2}}}},
                                      {"tenants", tenants}};
        const auto result = exchange(fleet_.client(), store_port_,
                                     {"PUT", "/control/document", {}, document.dump()});
        ASSERT_EQ(result.response.status, 200);
    }

    http_result send(const fleet_member& ingress, const std::string& key)
    {
        return exchange(
            fleet_.client(), ingress.caller_port,
            {"POST",
             "/view/1",
             {{"Host", "shop.example"}, {"Authorization", "Bearer " + key}, {"Tenant", "forged"}},
             ""},
            milliseconds{20'000});
    }

    int status_of(const fleet_member& ingress, const std::string& key)
    {
        const auto result = send(ingress, key);
        return result.error == http_error::none ? result.response.status : 0;
    }

    process store_;
    std::uint16_t store_port_ = 0;
    fleet fleet_;
};

// Guards against keys that are added or removed by a version of the document without effect on open
// connections, which the client of the fleet reuses, and against a key that a node without an
// upstream passes on.
TEST_F(tenants, keys_of_the_document_in_force_are_valid)
{
    write_document(1, {old_key});
    const auto& serving = fleet_.add("east", "alpha");
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return status_of(entry, old_key) == 200; }));
    const auto refused = send(entry, new_key);
    EXPECT_EQ(refused.response.status, 401);
    EXPECT_EQ(find_header(refused.response.headers, "WWW-Authenticate"), "Bearer");
    write_document(2, {old_key, new_key});
    EXPECT_TRUE(eventually([&] { return status_of(entry, new_key) == 200; }));
    EXPECT_EQ(status_of(entry, old_key), 200);
    write_document(3, {new_key});
    EXPECT_TRUE(eventually([&] { return status_of(entry, old_key) == 401; }));
    EXPECT_TRUE(eventually([&] { return status_of(serving, old_key) == 401; }));
    const auto executions = fleet_.counters(serving)["executions"];
    EXPECT_EQ(status_of(entry, old_key), 401);
    EXPECT_EQ(fleet_.counters(serving)["executions"], executions);
    EXPECT_EQ(status_of(entry, new_key), 200);
}

// Guards against a version that removes the last tenant and by that lets every key pass, also to
// the upstream.
TEST_F(tenants, removing_the_last_tenant_removes_its_keys)
{
    write_document(1, {old_key});
    const auto& serving = fleet_.add("east", "alpha");
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return status_of(entry, old_key) == 200; }));
    write_tenants(2, nlohmann::json::array());
    EXPECT_TRUE(eventually([&] { return status_of(entry, old_key) == 401; }));
    EXPECT_TRUE(eventually([&] { return status_of(serving, old_key) == 401; }));
    const auto executions = fleet_.counters(serving)["executions"];
    for (const auto* node : {&entry, &serving}) {
        EXPECT_EQ(status_of(*node, old_key), 401);
        EXPECT_EQ(status_of(*node, new_key), 401);
    }
    EXPECT_EQ(fleet_.counters(serving)["executions"], executions);
}

// Guards against a version that no node follows because a tenant has more keys than a node expects.
TEST_F(tenants, version_with_many_keys_is_followed)
{
    constexpr int key_count = 6'000;
    write_document(1, {old_key});
    fleet_.add("east", "alpha");
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return status_of(entry, old_key) == 200; }));
    std::vector<std::string> keys{new_key};
    for (int i = 0; i < key_count; ++i) {
        keys.push_back("further-key-" + std::to_string(i));
    }
    write_document(2, keys);
    EXPECT_TRUE(eventually([&] { return status_of(entry, new_key) == 200; }));
    EXPECT_EQ(status_of(entry, keys.back()), 200);
    EXPECT_EQ(status_of(entry, old_key), 401);
}

// Guards against a key in a request to the upstream, a log, a metric or a response, and against an
// upstream that gets the tenant's name from the caller.
TEST_F(tenants, keys_stay_at_the_entry_node)
{
    write_document(1, {old_key});
    const auto& serving = fleet_.add("east", "alpha");
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return status_of(entry, old_key) == 200; }));
    const http_result served = send(entry, old_key);
    const auto seen = nlohmann::json::parse(served.response.body);
    EXPECT_EQ(seen["tenant"], "acme");
    const auto& names = seen["headers"];
    EXPECT_EQ(std::count(names.begin(), names.end(), "tenant"), 1);
    EXPECT_EQ(std::count(names.begin(), names.end(), "authorization"), 0);
    const http_result refused = send(entry, "unknown-key-of-acme");
    EXPECT_EQ(refused.response.status, 401);
    EXPECT_EQ(refused.response.body.find("key-of-acme"), std::string::npos);
    EXPECT_EQ(status_of(serving, old_key), 200);
    for (const auto& member : fleet_.members()) {
        bool shows_key = false;
        EXPECT_TRUE(member->node->wait_for_line([&](const auto& fields) {
            shows_key = shows_key || fields.dump().find("key-of-acme") != std::string::npos;
            return fields.value("message", "") == "call answered" &&
                   fields.value("tenant", "") == "acme";
        }));
        EXPECT_FALSE(shows_key) << member->node->describe();
        const auto metrics =
            exchange(fleet_.client(), member->admin_port, {"GET", "/metrics", {}, ""});
        EXPECT_NE(
            metrics.response.body.find("chestnutstand_tenant_requests_total{tenant=\"acme\"}"),
            std::string::npos);
        EXPECT_EQ(metrics.response.body.find("key-of-acme"), std::string::npos);
    }
}

// Guards against a queued request that starts after its key has been removed, and against a refusal
// of it that does not state that it has not run.
TEST_F(tenants, queued_request_whose_key_was_removed_is_not_run)
{
    constexpr int call_count = 4;
    write_document(1, {old_key, new_key}, "non_idempotent");
    const auto& serving = fleet_.add("east", "alpha", {"--slots", "1", "--service-ms", "20"});
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return status_of(entry, old_key) == 200; }));
    const auto before = fleet_.counters(serving)["executions"].get<int>();
    ASSERT_TRUE(fleet_.control(serving.upstream_port, "/behaviour", {{"service_ms", 6'000}}));
    std::vector<std::thread> callers;
    callers.reserve(call_count);
    std::vector<int> statuses(call_count);
    for (int i = 0; i < call_count; ++i) {
        callers.emplace_back([&, i] { statuses[i] = status_of(entry, old_key); });
    }
    const auto queued = [&] {
        int length = 0;
        const auto load = fleet_.status(serving)["load"];
        for (const auto& [name, count] : load["queues"].items()) {
            length += count.get<int>();
        }
        return length;
    };
    EXPECT_TRUE(eventually([&] { return queued() >= 1; }));
    write_document(2, {new_key}, "non_idempotent");
    EXPECT_TRUE(eventually([&] { return queued() == 0; }));
    for (std::thread& caller : callers) {
        caller.join();
    }
    const auto count = [&](int status) {
        return std::count(statuses.begin(), statuses.end(), status);
    };
    EXPECT_GE(count(503), 1);
    // A caller that the document has overtaken gets 401.
    EXPECT_EQ(count(200) + count(503) + count(401), call_count);
    EXPECT_EQ(fleet_.counters(serving)["executions"].get<int>() - before, count(200));
    EXPECT_TRUE(entry.node->wait_for_line([](const auto& fields) {
        return fields.value("message", "") == "call answered" &&
               fields.value("reason", "") == "unknown_api_key" &&
               fields.value("outcome", "") == "not-run";
    }));
}

// Guards against keys that are forgotten when the store fails, and against status 401 of a node
// that cannot know any key.
TEST_F(tenants, keys_stay_in_force_while_the_store_is_lost)
{
    const auto& without_document = fleet_.add("east", "alpha");
    EXPECT_EQ(status_of(without_document, old_key), 503);
    write_document(1, {old_key});
    ASSERT_TRUE(eventually([&] { return status_of(without_document, old_key) == 200; }));
    store_.kill();
    EXPECT_EQ(status_of(without_document, old_key), 200);
    EXPECT_EQ(status_of(without_document, new_key), 401);
}

} // namespace
} // namespace chestnutstand::testing
