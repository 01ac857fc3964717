#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/numbers.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr double rate_per_s = 20.0;
constexpr double burst = 10.0;
constexpr const char* key = "key-of-acme";

/// Nodes whose document has a tenant with a quota.
class quota : public ::testing::Test {
protected:
    quota() : store_{STUB_STORE_PROGRAM, {}}
    {
        store_port_ = announced_port(store_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port_)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"}};
        // Not idempotent, so that the upstreams run each request that is answered with 200 once.
        const nlohmann::json document{
            {"version", 1},
            {"services", {{{"name", "alpha"}}}},
            {"routes",
             {{{"name", "view"},
               {"host", "shop.example"},
               {"path_prefix", "/"},
               {"service", "alpha"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 5'000},
               {"latency_target_ms", 2'500},
               {"attempts", 2}}}},
            {"tenants",
             {{{"name", "acme"}, {"keys", {key}}, {"rate_per_s", rate_per_s}, {"burst", burst}}}}};
        exchange(fleet_.client(), store_port_, {"PUT", "/control/document", {}, document.dump()});
    }

    http_result get(const fleet_member& entry)
    {
        return exchange(
            fleet_.client(), entry.caller_port,
            {"GET",
             "/view",
             {{"Host", "shop.example"}, {"Authorization", std::string{"Bearer "} + key}},
             ""});
    }

    bool serves(const fleet_member& entry)
    {
        return eventually([&] { return get(entry).response.status == 200; });
    }

    std::uint64_t executions()
    {
        std::uint64_t sum = 0;
        for (const auto& member : fleet_.members()) {
            if (member->upstream) {
                sum += fleet_.counters(*member)["executions"].get<std::uint64_t>();
            }
        }
        return sum;
    }

    process store_;
    std::uint16_t store_port_ = 0;
    fleet fleet_;
};

// Guards against nodes that each grant the rate, against a 429 whose request has run, and against
// one that does not tell when to come back.
TEST_F(quota, holds_over_all_nodes)
{
    constexpr milliseconds load_time{4'000};
    fleet_.add("east", "alpha");
    fleet_.add("east", "alpha");
    fleet_.add("west", "");
    for (const auto& member : fleet_.members()) {
        ASSERT_TRUE(serves(*member));
    }
    const std::uint64_t before = executions();
    std::atomic<std::uint64_t> served{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> other{0};
    std::atomic<std::uint64_t> without_retry_after{0};
    const time_point start = ms_clock::now();
    std::vector<std::thread> callers;
    for (const auto& member : fleet_.members()) {
        callers.emplace_back([&, entry = member.get()] {
            while (ms_clock::now() - start < load_time) {
                const auto response = get(*entry).response;
                ++(response.status == 200 ? served : response.status == 429 ? refused : other);
                double retry_after = 0.0;
                const auto field = find_header(response.headers, "Retry-After");
                if (response.status == 429 &&
                    (!field || !absl::SimpleAtod(std::string{*field}, &retry_after) ||
                     retry_after <= 0.0)) {
                    ++without_retry_after;
                }
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    const double elapsed_s = (ms_clock::now() - start).count() / 1'000.0;
    EXPECT_LE(served, (rate_per_s * elapsed_s + burst) * 1.1 + 20.0);
    EXPECT_GT(served, 0U);
    EXPECT_GT(refused, 0U);
    EXPECT_EQ(other, 0U);
    EXPECT_EQ(without_retry_after, 0U);
    EXPECT_EQ(executions() - before, served);
    for (const auto& member : fleet_.members()) {
        EXPECT_TRUE(serves(*member));
    }
}

// Guards against a tenant that is not served any more after the loss of a node, which may have been
// the owner of its quota.
TEST_F(quota, comes_back_after_a_node_is_lost)
{
    fleet_.add("east", "alpha");
    fleet_.add("east", "");
    fleet_.add("west", "");
    for (const auto& member : fleet_.members()) {
        ASSERT_TRUE(serves(*member));
    }
    fleet_.members()[2]->node->signal(SIGKILL);
    EXPECT_TRUE(serves(*fleet_.members()[0]));
    fleet_.members()[1]->node->signal(SIGKILL);
    EXPECT_TRUE(serves(*fleet_.members()[0]));
}

} // namespace
} // namespace chestnutstand::testing
