#include "../support/fleet.h"

#include "chestnutstand/routing/retry_budget.h"
#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

class routing : public ::testing::Test {
protected:
    void start(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            fleet_.add("east", "alpha");
        }
        const auto publish_result =
            fleet_.publish(*fleet_.members().front(), "platform", "main", 0,
                           section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
            << publish_result;
        ASSERT_TRUE(fleet_.wait_until_ready(nodes));
    }

    void set_behaviour(std::size_t index, const nlohmann::json& behaviour)
    {
        ASSERT_TRUE(
            fleet_.control(fleet_.members()[index]->upstream_port, "/behaviour", behaviour));
    }

    http_response call_through(std::size_t index)
    {
        auto result = exchange(fleet_.client(), fleet_.members()[index]->caller_port,
                               {"GET", "/call/alpha/balance", {}, ""});
        EXPECT_EQ(result.error, http_error::none);
        return result.response;
    }

    std::uint64_t attempts_at(std::size_t index)
    {
        return fleet_.counters(*fleet_.members()[index])["attempts"].get<std::uint64_t>();
    }

    fleet fleet_;
};

// Guards against an upstream that fails immediately, therefore always has the least load, and so
// receives most of the traffic.
TEST_F(routing, fast_failing_upstream_does_not_attract_traffic)
{
    start(4);
    for (std::size_t i = 0; i < 4; ++i) {
        set_behaviour(i, {{"service_ms", 5}, {"fail_fast", i == 3}});
    }
    constexpr int calls = 400;
    for (int i = 0; i < calls; ++i) {
        call_through(0);
    }
    // Without ejection it gets at least an equal share of the calls, which is 100.
    EXPECT_LE(attempts_at(3), 40U);
}

// Guards against idempotent calls that fail because a node was killed, whether in flight at that
// time or sent later.
TEST_F(routing, killed_node_loses_no_idempotent_call)
{
    start(3);
    for (std::size_t i = 0; i < 3; ++i) {
        set_behaviour(i, {{"service_ms", 5}});
    }
    std::atomic<int> received = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&] {
            for (int i = 0; i < 150; ++i) {
                const http_response response = call_through(0);
                failed += response.status == 200 ? 0 : 1;
                ++received;
            }
        });
    }
    EXPECT_TRUE(eventually([&] { return received >= 200; }));
    fleet_.members()[2]->node->kill();
    for (std::thread& caller_thread : callers) {
        caller_thread.join();
    }
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(received, 600);
}

// Guards against a retry storm when every upstream sheds load.
TEST_F(routing, attempts_stay_within_the_retry_budget_when_all_shed_load)
{
    start(3);
    for (std::size_t i = 0; i < 3; ++i) {
        set_behaviour(i, {{"shed", true}});
    }
    const time_point start_time = ms_clock::now();
    constexpr int calls = 300;
    for (int i = 0; i < calls; ++i) {
        const http_response response = call_through(static_cast<std::size_t>(i) % 3);
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(find_header(response.headers, header::outcome), "not-run");
    }
    const double seconds = (ms_clock::now() - start_time).count() / 1000.0;
    std::uint64_t attempts = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        attempts += attempts_at(i);
    }
    // No call succeeds, so the retry budget of each of the three nodes consists of its initial
    // balance and the minimum rate.
    const double retries =
        3.0 * (retry_budget::initial_tokens + retry_budget::min_retries_per_s * seconds);
    EXPECT_LE(static_cast<double>(attempts), calls + retries);
}

} // namespace
} // namespace chestnutstand::testing
