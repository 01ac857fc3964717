#include "chestnutstand/routing/balancing_policy.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr time_point now{milliseconds{1'000'000}};

class balancing_policy_test : public testing::Test {
protected:
    static constexpr std::size_t peer_count = 4;

    void report(std::size_t index, std::uint32_t in_flight, double latency_ms = 10.0)
    {
        load_report load;
        load.in_flight = in_flight;
        load.limit = 10;
        load.latency = milliseconds{latency_ms};
        loads_.at(index).record_report(load, priority_order{}, now);
    }

    std::array<int, peer_count> choose_often(const std::string& policy, int times)
    {
        std::vector<candidate> candidates;
        for (std::size_t i = 0; i < peer_count; ++i) {
            candidates.push_back({&loads_.at(i), distances_.at(i)});
        }
        const auto balancer = policy_registry::instance().make(policy);
        std::array<int, peer_count> chosen{};
        for (int i = 0; i < times; ++i) {
            ++chosen.at(balancer->choose(candidates, {0, now}, random_));
        }
        return chosen;
    }

    std::array<peer_load, peer_count> loads_;
    std::array<milliseconds, peer_count> distances_{};
    random_generator random_{7};
};

// Guards against a policy that the design specifies but that is missing from the binary.
TEST_F(balancing_policy_test, all_policies_are_registered)
{
    for (const char* name :
         {"random", "round_robin", "least_outstanding", "two_choices_stale", "two_choices"}) {
        EXPECT_NE(policy_registry::instance().make(name), nullptr) << name;
    }
}

// Guards against a policy that ignores some of several equal peers.
TEST_F(balancing_policy_test, equal_peers_all_get_traffic)
{
    for (const auto& [name, make] : policy_registry::instance().factories()) {
        for (const int count : choose_often(name, 4000)) {
            EXPECT_GT(count, 800) << name;
        }
    }
}

// Guards against sending refused calls to members whose spare capacity is only assumed.
TEST_F(balancing_policy_test, spare_capacity_is_known_from_recent_reports_only)
{
    const auto has_capacity_at = [&](std::size_t index, milliseconds age) {
        return has_known_spare_capacity(loads_.at(index).read(0, now + age));
    };
    EXPECT_FALSE(has_capacity_at(0, milliseconds{0}));
    report(0, 3);
    EXPECT_TRUE(has_capacity_at(0, milliseconds{100}));
    EXPECT_FALSE(has_capacity_at(0, milliseconds{300}));
    report(1, 9);
    EXPECT_FALSE(has_capacity_at(1, milliseconds{0}));
}

// Guards against traffic to the most loaded peer, which is never the better one of two different
// candidates.
TEST_F(balancing_policy_test, two_choices_leaves_out_the_costliest)
{
    for (std::size_t i = 0; i < peer_count; ++i) {
        report(i, i == 2 ? 9 : 1);
    }
    EXPECT_EQ(choose_often("two_choices", 1000)[2], 0);
}

// Guards against a burst of calls to one peer between two of its load reports.
TEST_F(balancing_policy_test, own_calls_since_the_report_count)
{
    for (std::size_t i = 0; i < peer_count; ++i) {
        report(i, 2);
    }
    for (int i = 0; i < 5; ++i) {
        loads_[1].begin_call(now);
    }
    EXPECT_EQ(choose_often("two_choices", 1000)[1], 0);
}

// Guards against calls to another data centre although nearer members have spare capacity, and
// against calls to nearer members that are overloaded.
TEST_F(balancing_policy_test, distance_counts_as_latency)
{
    for (std::size_t i = 0; i < peer_count; ++i) {
        report(i, 3);
    }
    distances_ = {milliseconds{0}, milliseconds{0}, milliseconds{0}, milliseconds{5}};
    EXPECT_EQ(choose_often("two_choices", 1000)[3], 0);
    for (std::size_t i = 0; i < 3; ++i) {
        report(i, 30);
    }
    EXPECT_GT(choose_often("two_choices", 1000)[3], 300);
}

// Guards against a new or recovered peer that gets no calls because idle peers with a measured
// latency below one millisecond always have a lower cost.
TEST_F(balancing_policy_test, unmeasured_peer_is_tried_before_fast_idle_peers)
{
    for (std::size_t i = 0; i < 3; ++i) {
        loads_[i].begin_call(now);
        loads_[i].end_call(milliseconds{0.3}, true, now);
        report(i, 0);
    }
    EXPECT_GT(choose_often("two_choices", 1000)[3], 300);
}

// Guards against a cost that ignores the limits of the peers, so that a peer with a lower limit
// gets as many calls as the others.
TEST_F(balancing_policy_test, limit_scales_the_cost)
{
    for (std::size_t i = 0; i < peer_count; ++i) {
        report(i, 3);
    }
    load_report low_limit;
    low_limit.in_flight = 3;
    low_limit.limit = 4;
    low_limit.latency = milliseconds{10};
    loads_[0].record_report(low_limit, priority_order{}, now);
    EXPECT_EQ(choose_often("two_choices", 1000)[0], 0);
}

} // namespace
} // namespace chestnutstand
