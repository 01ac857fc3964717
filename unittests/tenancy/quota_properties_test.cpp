#include "quota_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr double window_s = 5.0;
constexpr milliseconds start_time{12'000};

/// Requests that may run in a window of 5 s.
double bound(const quota_limit& limit)
{
    constexpr double tolerance = 1.1;
    constexpr double slack = 20.0;
    return (limit.rate_per_s * window_s + limit.burst) * tolerance + slack;
}

void share_load(quota_simulation& cluster, std::size_t nodes, double total_per_s)
{
    for (std::size_t node = 0; node < nodes; ++node) {
        cluster.set_load(node, total_per_s / static_cast<double>(nodes));
    }
}

quota_limit random_limit()
{
    const double rate = *rc::gen::inRange(1, 250);
    return {rate, rate * *rc::gen::inRange(0, 30) / 10.0};
}

/// One random event of a cluster.
void disturb(quota_simulation& cluster, std::size_t nodes, double rate, std::string& script)
{
    const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
    const int event = *rc::gen::inRange(0, 8);
    script += " " + std::to_string(event) + "@" + std::to_string(node);
    switch (event) {
    case 0:
        cluster.crash(node);
        break;
    case 1:
        cluster.restart(node);
        break;
    case 2: {
        std::vector<int> groups(nodes);
        for (int& group : groups) {
            group = *rc::gen::inRange(0, 2);
        }
        cluster.partition(groups);
        break;
    }
    case 3:
        cluster.heal();
        break;
    case 4:
        cluster.pause(node, milliseconds{*rc::gen::inRange(100, 12'000) * 1.0});
        break;
    case 5:
        cluster.drain(node);
        break;
    case 6: // The demand moves to one node.
        share_load(cluster, nodes, 0.0);
        cluster.set_load(node, rate * *rc::gen::inRange(1, 8));
        break;
    default:
        share_load(cluster, nodes, rate * *rc::gen::inRange(0, 8));
        break;
    }
}

// Guards against more requests in a window of 5 s than the tolerance allows, whatever order of
// grants, expiry, pauses, crashes, restarts, drains and partitions, and wherever the demand is.
TEST(quota_properties, no_window_exceeds_the_bound)
{
    std::size_t total = 0;
    const bool holds = rc::check([&] {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 9);
        const quota_limit limit = random_limit();
        quota_simulation cluster{nodes, limit, *rc::gen::arbitrary<std::uint32_t>()};
        std::string script;
        // A demand below the rate lets the owner save its burst.
        share_load(cluster, nodes, limit.rate_per_s * *rc::gen::element(0.5, 3.0));
        cluster.run_for(start_time);
        const int events = *rc::gen::inRange(1, 12);
        for (int i = 0; i < events; ++i) {
            disturb(cluster, nodes, limit.rate_per_s, script);
            const int pause_ms = *rc::gen::inRange(10, 9'000);
            script += "+" + std::to_string(pause_ms);
            cluster.run_for(milliseconds{pause_ms * 1.0});
        }
        cluster.run_for(start_time);
        total += cluster.admitted.size();
        const auto largest = cluster.largest_window(time_point{}, cluster.loop().now());
        if (static_cast<double>(largest) > bound(limit)) {
            RC_FAIL(std::to_string(largest) + " of " + std::to_string(bound(limit)) + ", " +
                    std::to_string(nodes) + " nodes, rate " + std::to_string(limit.rate_per_s) +
                    ", burst " + std::to_string(limit.burst) + ":" + script);
        }
    });
    EXPECT_TRUE(holds);
    EXPECT_GT(total, 10'000U);
}

// Guards against a part of the cluster that keeps granting the rate of the whole one while another
// part grants its share as well, and against sides that both grant the whole rate once they have
// forgotten each other.
TEST(quota_properties, sides_of_a_partition_share_the_rate)
{
    constexpr std::size_t nodes = 12;
    const quota_limit limit{190.0, 190.0};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        quota_simulation cluster{nodes, limit, seed};
        share_load(cluster, nodes, 7.5 / 1.6 * limit.rate_per_s);
        cluster.run_for(start_time);
        std::vector<int> groups(nodes, 0);
        const std::size_t cut_off = 1 + seed % (nodes / 2);
        std::fill_n(groups.begin(), cut_off, 1);
        cluster.partition(groups);
        cluster.run_for(milliseconds{90'000});
        cluster.heal();
        cluster.run_for(milliseconds{30'000});
        EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit))
            << "seed " << seed << ", cut off " << cut_off;
    }
}

// Guards against fallbacks that are served beside an owner that has saved its burst and that
// notices late that it is cut off, with one other node, from all others.
TEST(quota_properties, a_crowd_during_a_partition_keeps_the_bound)
{
    constexpr std::size_t nodes = 24;
    const quota_limit limit{190.0, 190.0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        quota_simulation cluster{nodes, limit, seed};
        share_load(cluster, nodes, limit.rate_per_s / 2.0);
        cluster.run_for(start_time);
        std::vector<int> groups(nodes, 0);
        groups[cluster.owner()] = 1;
        groups[(cluster.owner() + 1) % nodes] = 1;
        cluster.partition(groups);
        share_load(cluster, nodes, 8.0 * limit.rate_per_s);
        cluster.run_for(milliseconds{20'000});
        EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit));
    }
}

// Guards against a limit that is still exceeded one window after it was lowered everywhere.
TEST(quota_properties, lowered_limit_holds_after_one_window)
{
    constexpr std::size_t nodes = 10;
    const quota_limit lowered{20.0, 10.0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        quota_simulation cluster{nodes, {200.0, 400.0}, seed};
        share_load(cluster, nodes, 300.0);
        cluster.run_for(start_time);
        cluster.set_limit(lowered);
        cluster.run_for(milliseconds{2'000});
        const time_point in_force = cluster.loop().now();
        cluster.run_for(milliseconds{20'000});
        EXPECT_LE(cluster.largest_window(in_force + milliseconds{250}, cluster.loop().now()),
                  bound(lowered));
        EXPECT_GT(cluster.admitted.size(), 100U);
    }
}

/// Demand of 1 / 1.6 of the limit, in which nothing may be refused.
void expect_no_refusal_in_calm(quota_simulation& cluster, std::size_t nodes,
                               const quota_limit& limit, std::size_t entries)
{
    share_load(cluster, nodes, 0.0);
    for (std::size_t node = 0; node < entries; ++node) {
        cluster.set_load(node, limit.rate_per_s / 1.6 / static_cast<double>(entries));
    }
    cluster.run_for(start_time);
    cluster.admitted.clear();
    cluster.refused.clear();
    cluster.waited = 0;
    cluster.messages = 0;
    cluster.run_for(milliseconds{60'000});
    EXPECT_EQ(cluster.refused.size(), 0U);
    EXPECT_GT(cluster.admitted.size(), 30.0 * limit.rate_per_s);
    EXPECT_LE(cluster.messages, cluster.admitted.size());
    std::cout << entries << " of " << nodes << " nodes: " << cluster.admitted.size()
              << " admitted, " << cluster.waited << " waited, " << cluster.messages
              << " messages\n";
}

// Guards against refusals below the limit in calm, and against more than one message per request.
TEST(quota_properties, refuses_nothing_below_the_limit_in_calm)
{
    constexpr std::size_t nodes = 59;
    const quota_limit limit{190.0, 190.0};
    for (const std::size_t entries : {1UL, 4UL, 20UL, 59UL}) {
        quota_simulation cluster{nodes, limit, entries};
        expect_no_refusal_in_calm(cluster, nodes, limit, entries);
    }
}

// Guards against refusals in calm while nodes are replaced one after another: the owner moves with
// its tokens.
TEST(quota_properties, refuses_nothing_while_nodes_are_drained_and_replaced)
{
    constexpr std::size_t nodes = 8;
    const quota_limit limit{190.0, 190.0};
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        quota_simulation cluster{nodes, limit, seed};
        // The last node takes no requests, so that none is lost with its process.
        share_load(cluster, nodes, limit.rate_per_s / 1.6);
        cluster.run_for(milliseconds{20'000});
        cluster.refused.clear();
        for (std::size_t node = 0; node < nodes; ++node) {
            cluster.set_load(node, 0.0);
            cluster.drain(node);
            cluster.run_for(milliseconds{4'000});
            cluster.restart(node);
            cluster.run_for(milliseconds{8'000});
            cluster.set_load(node, limit.rate_per_s / 1.6 / nodes);
        }
        EXPECT_EQ(cluster.refused.size(), 0U) << "seed " << seed;
        EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit));
    }
}

// Guards against one tenant that gets more than its limit, or much less, at 7.5 times its demand
// spread over many nodes.
TEST(quota_properties, overload_of_one_tenant_is_cut_to_its_limit)
{
    constexpr std::size_t nodes = 59;
    const quota_limit limit{190.0, 190.0};
    quota_simulation cluster{nodes, limit, 1};
    share_load(cluster, nodes, limit.rate_per_s / 1.6);
    cluster.run_for(start_time);
    cluster.admitted.clear();
    cluster.messages = 0;
    share_load(cluster, nodes, 7.5 / 1.6 * limit.rate_per_s);
    constexpr double overload_s = 60.0;
    cluster.run_for(milliseconds{overload_s * 1'000.0});
    EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit));
    EXPECT_GT(cluster.admitted.size(), 0.9 * limit.rate_per_s * overload_s);
    EXPECT_LE(cluster.messages, cluster.admitted.size() + cluster.refused.size());
    std::cout << cluster.admitted.size() << " admitted, " << cluster.refused.size() << " refused, "
              << cluster.messages << " messages\n";
}

// Guards against a quota that exceeds the bound when most nodes restart at the same time, each with
// an empty member table, and against one that does not come back.
TEST(quota_properties, restart_of_most_nodes_keeps_the_bound)
{
    constexpr std::size_t nodes = 20;
    const quota_limit limit{190.0, 190.0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        quota_simulation cluster{nodes, limit, seed};
        share_load(cluster, nodes, 3.0 * limit.rate_per_s);
        cluster.run_for(start_time);
        for (std::size_t node = 0; node < nodes - 2; ++node) {
            cluster.restart(node);
        }
        cluster.run_for(milliseconds{20'000});
        EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit));
        const std::size_t before = cluster.admitted.size();
        cluster.run_for(milliseconds{10'000});
        EXPECT_GT(cluster.admitted.size() - before, 9.0 * limit.rate_per_s);
    }
}

// Guards against an owner whose loss stops the tenant for good, and against a successor that
// grants while the lost owner may still do so.
TEST(quota_properties, a_lost_owner_is_replaced)
{
    constexpr std::size_t nodes = 20;
    const quota_limit limit{190.0, 190.0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        quota_simulation cluster{nodes, limit, seed};
        share_load(cluster, nodes, 2.0 * limit.rate_per_s);
        cluster.run_for(start_time);
        cluster.crash(cluster.owner());
        cluster.run_for(milliseconds{20'000});
        const std::size_t before = cluster.admitted.size();
        cluster.run_for(milliseconds{10'000});
        EXPECT_GT(cluster.admitted.size() - before, 8.0 * limit.rate_per_s) << "seed " << seed;
        EXPECT_LE(cluster.largest_window(time_point{}, cluster.loop().now()), bound(limit));
    }
}

} // namespace
} // namespace chestnutstand
