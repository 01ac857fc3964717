#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cmath>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

constexpr double cold_per_s = 4.0;
constexpr int burst_size = 30;

/// A node whose upstream states in the header Cold of its health path for how long it is cold.
class cold_upstream : public ::testing::Test {
protected:
    cold_upstream() : store_{STUB_STORE_PROGRAM, {}}
    {
        const auto store_port = announced_port(store_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"},
                                   {"headers", {{"upstream_cold", "Cold"}}}};
        const nlohmann::json document{
            {"version", 1},
            {"services",
             {{{"name", "alpha"}, {"cold_per_s", cold_per_s}, {"health_path", "/health"}}}},
            {"routes",
             {{{"name", "view"},
               {"host", "shop.example"},
               {"path_prefix", "/"},
               {"service", "alpha"},
               {"kind", "idempotent"},
               {"timeout_ms", 1'000},
               {"latency_target_ms", 500},
               {"attempts", 1}}}}};
        exchange(fleet_.client(), store_port, {"PUT", "/control/document", {}, document.dump()});
        node_ = &fleet_.add("east", "alpha");
    }

    void set_cold(double cold_ms)
    {
        ASSERT_TRUE(fleet_.control(node_->upstream_port, "/behaviour", {{"cold_ms", cold_ms}}));
    }

    /// Sends requests at once and returns the number that were served.
    int burst()
    {
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        callers.reserve(burst_size);
        for (int i = 0; i < burst_size; ++i) {
            callers.emplace_back([&] {
                const auto result =
                    exchange(fleet_.client(), node_->caller_port,
                             {"GET", "/view", {{"Host", "shop.example"}}, ""}, milliseconds{5'000});
                served += result.error == http_error::none && result.response.status == 200 ? 1 : 0;
            });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        return served;
    }

    std::uint64_t executions()
    {
        return fleet_.counters(*node_)["executions"].get<std::uint64_t>();
    }

    process store_;
    fleet fleet_;
    fleet_member* node_ = nullptr;
};

// Guards against a burst that reaches an upstream which has just become cold, and against a limit
// that stays when it is warm again.
TEST_F(cold_upstream, gets_few_requests_from_the_start_of_its_cold_phase)
{
    constexpr double ms_per_second = 1'000.0;
    set_cold(0.0);
    ASSERT_TRUE(eventually([&] { return burst() == burst_size; }));
    // The node does not know of the cold phase before it has sent the first requests.
    const auto before = executions();
    const auto start = ms_clock::now();
    set_cold(60'000.0);
    burst();
    const double seconds = std::ceil((ms_clock::now() - start).count() / ms_per_second);
    EXPECT_LE(executions() - before, seconds * (cold_per_s * 1.5 + 8.0));
    EXPECT_TRUE(node_->node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "upstream is cold"; }));
    set_cold(0.0);
    EXPECT_TRUE(eventually([&] { return burst() == burst_size; }));
}

} // namespace
} // namespace chestnutstand::testing
