#include "chestnutstand/routing/peer_load.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

constexpr time_point start{milliseconds{1'000'000}};

service_config two_classes()
{
    service_config service;
    service.priorities = {{"bulk", milliseconds{900}, 1.0, true},
                          {"urgent", milliseconds{20}, 1.0, true}};
    return service;
}

// Guards against exceeding the planned memory per peer of about 100 B.
TEST(peer_load, is_small)
{
    EXPECT_LE(sizeof(peer_load), 112U);
}

// Guards against urgent calls that avoid a peer because of less urgent calls in its queues.
TEST(peer_load, counts_only_queues_ahead_of_the_rank)
{
    const priority_order order{two_classes()};
    peer_load load;
    load_report report;
    report.queues = {{"bulk", 30}, {"urgent", 2}};
    load.record_report(report, order, start);
    EXPECT_EQ(load.read(order.rank("urgent"), start).queued_ahead, 2U);
    EXPECT_EQ(load.read(order.rank("bulk"), start).queued_ahead, 32U);
}

// Guards against fast failures that lower the latency of a peer, and against timeouts that do not
// raise it.
TEST(peer_load, failed_calls_only_raise_latency)
{
    peer_load load;
    load.begin_call(start);
    load.end_call(milliseconds{20}, true, start);
    load.begin_call(start);
    load.end_call(milliseconds{0.01}, false, start);
    EXPECT_DOUBLE_EQ(load.read(0, start).latency.count(), 20.0);
    load.begin_call(start);
    load.end_call(milliseconds{1000}, false, start);
    EXPECT_GT(load.read(0, start).latency.count(), 100.0);
}

// Guards against permanently avoiding a peer that was once slow, and against treating a peer with
// calls in flight as recovered.
TEST(peer_load, latency_decays_only_without_unanswered_calls)
{
    peer_load load;
    load.begin_call(start);
    load.end_call(milliseconds{800}, true, start);
    EXPECT_LE(load.read(0, start + milliseconds{10'000}).latency.count(), 100.0);
    load.begin_call(start);
    EXPECT_DOUBLE_EQ(load.read(0, start + milliseconds{10'000}).latency.count(), 800.0);
}

// Guards against not detecting that a peer has stopped responding, and against treating an idle
// peer as silent.
TEST(peer_load, silence_grows_while_calls_are_unanswered)
{
    peer_load load;
    const auto at = [](double ms) { return start + milliseconds{ms}; };
    EXPECT_EQ(load.silence(at(500)), milliseconds{0});
    load.begin_call(start);
    load.begin_call(at(100));
    EXPECT_EQ(load.silence(at(250)), milliseconds{250});
    load.end_call(milliseconds{300}, true, at(300));
    load.record_report({}, priority_order{}, at(300));
    EXPECT_EQ(load.silence(at(400)), milliseconds{100});
    load.end_call(milliseconds{400}, true, at(500));
    EXPECT_EQ(load.silence(at(900)), milliseconds{0});
}

// Guards against lost updates when several threads use one peer.
TEST(peer_load, counts_are_exact_under_concurrency)
{
    peer_load load;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&load] {
            for (int calls = 0; calls < 10'000; ++calls) {
                load.begin_call(start);
                load.end_call(milliseconds{1}, true, start);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(load.read(0, start).own_in_flight, 0U);
    EXPECT_EQ(load.read(0, start).sent_since_report, 40'000U);
}

} // namespace
} // namespace chestnutstand
