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
            all_.add("east", "alpha");
        }
        const auto verdict = all_.publish(*all_.members().front(), "platform", "main", 0,
                                          section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
        ASSERT_TRUE(all_.wait_until_ready(nodes));
    }

    void behave(std::size_t index, const nlohmann::json& behaviour)
    {
        ASSERT_TRUE(all_.control(all_.members()[index]->upstream_port, "/behaviour", behaviour));
    }

    http_response read_through(std::size_t index)
    {
        auto result = exchange(all_.client(), all_.members()[index]->caller_port,
                               {"GET", "/call/alpha/balance", {}, ""});
        EXPECT_EQ(result.error, http_error::none);
        return result.response;
    }

    std::uint64_t attempts_at(std::size_t index)
    {
        return all_.counters(*all_.members()[index])["attempts"].get<std::uint64_t>();
    }

    fleet all_;
};

// Guards against an upstream that fails at once, always looks idle and attracts the traffic.
TEST_F(routing, fast_failing_upstream_does_not_attract_traffic)
{
    start(4);
    for (std::size_t i = 0; i < 4; ++i) {
        behave(i, {{"service_ms", 5}, {"fail_fast", i == 3}});
    }
    constexpr int calls = 400;
    for (int i = 0; i < calls; ++i) {
        read_through(0);
    }
    // Without ejection it gets at least its equal share, which is 100.
    EXPECT_LE(attempts_at(3), 40U);
}

// Guards against idempotent calls that are lost when a node is killed, in flight or later.
TEST_F(routing, killed_node_loses_no_idempotent_call)
{
    start(3);
    for (std::size_t i = 0; i < 3; ++i) {
        behave(i, {{"service_ms", 5}});
    }
    std::atomic<int> answered = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&] {
            for (int i = 0; i < 150; ++i) {
                const http_response response = read_through(0);
                failed += response.status == 200 ? 0 : 1;
                ++answered;
            }
        });
    }
    EXPECT_TRUE(eventually([&] { return answered >= 200; }));
    all_.members()[2]->node->kill();
    for (std::thread& running : callers) {
        running.join();
    }
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(answered, 600);
}

// Guards against a retry storm when every upstream sheds load.
TEST_F(routing, attempts_stay_within_the_retry_budget_when_all_shed_load)
{
    start(3);
    for (std::size_t i = 0; i < 3; ++i) {
        behave(i, {{"shed", true}});
    }
    const time_point begun = ms_clock::now();
    constexpr int calls = 300;
    for (int i = 0; i < calls; ++i) {
        const http_response response = read_through(static_cast<std::size_t>(i) % 3);
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(find_header(response.headers, header::outcome), "not-run");
    }
    const double seconds = (ms_clock::now() - begun).count() / 1000.0;
    std::uint64_t attempts = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        attempts += attempts_at(i);
    }
    // No call succeeds, so that each of the three nodes has only what it started with and the
    // floor.
    const double retries =
        3.0 * (retry_budget::initial_tokens + retry_budget::min_retries_per_s * seconds);
    EXPECT_LE(static_cast<double>(attempts), calls + retries);
}

} // namespace
} // namespace chestnutstand::testing
