#include "chestnutstand/tenancy/tenant_rotation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr milliseconds quantum{10};

/// Serves the tenant whose turn it is.
std::string serve_next(tenant_rotation& rotation, milliseconds work)
{
    std::string tenant{rotation.next()};
    rotation.serve(tenant, work);
    return tenant;
}

// Guards against a tenant with many calls that delays the calls of the others by all of its own.
TEST(tenant_rotation, serves_tenants_in_turn)
{
    tenant_rotation rotation{quantum};
    for (int i = 0; i < 20; ++i) {
        rotation.add("large", quantum);
    }
    rotation.add("small", quantum);
    rotation.add("other", quantum);
    EXPECT_EQ(serve_next(rotation, quantum), "large");
    EXPECT_EQ(serve_next(rotation, quantum), "small");
    EXPECT_EQ(serve_next(rotation, quantum), "other");
    EXPECT_EQ(serve_next(rotation, quantum), "large");
    EXPECT_EQ(rotation.waiting("large"), 18U);
}

// Guards against turns that count calls: a tenant with long calls would take most of the capacity.
TEST(tenant_rotation, shares_work_and_not_calls)
{
    tenant_rotation rotation{quantum};
    std::map<std::string, int> served;
    for (int i = 0; i < 1000; ++i) {
        rotation.add("long", quantum * 9.0);
        rotation.add("short", quantum);
    }
    for (int i = 0; i < 500; ++i) {
        const std::string tenant{rotation.next()};
        rotation.serve(tenant, tenant == "long" ? quantum * 9.0 : quantum);
        ++served[tenant];
    }
    EXPECT_NEAR(served["short"], 450, 20);
    EXPECT_NEAR(served["long"], 50, 3);
}

// Guards against a tenant that escapes the charge for long calls because it never has two of them
// waiting.
TEST(tenant_rotation, charge_outlives_an_empty_backlog)
{
    tenant_rotation rotation{quantum};
    for (int i = 0; i < 1000; ++i) {
        rotation.add("short", quantum);
    }
    int served_long = 0;
    for (int i = 0; i < 200; ++i) {
        if (rotation.waiting("long") == 0) {
            rotation.add("long", quantum * 9.0);
        }
        const std::string tenant{rotation.next()};
        rotation.serve(tenant, tenant == "long" ? quantum * 9.0 : quantum);
        served_long += tenant == "long" ? 1 : 0;
    }
    EXPECT_NEAR(served_long, 20, 3);
}

// Guards against a changed order of calls without a tenant, and against a displaced call of a
// tenant that has none.
TEST(tenant_rotation, one_tenant_gets_every_decision)
{
    tenant_rotation rotation{quantum};
    for (int i = 0; i < 5; ++i) {
        rotation.add("", quantum * 50.0);
    }
    while (!rotation.empty()) {
        EXPECT_EQ(rotation.next(), "");
        EXPECT_EQ(rotation.displaced_first(), "");
        rotation.serve("", quantum * 50.0);
    }
    EXPECT_EQ(rotation.size(), 0U);
}

// Guards against displacing a call of a tenant with few calls when another one fills the queue.
TEST(tenant_rotation, tenant_with_the_most_work_is_displaced_first)
{
    tenant_rotation rotation{quantum};
    rotation.add("small", quantum);
    rotation.add("large", quantum);
    rotation.add("large", quantum);
    EXPECT_EQ(rotation.displaced_first(), "large");
    rotation.remove("large", quantum);
    rotation.add("small", quantum * 5.0);
    EXPECT_EQ(rotation.displaced_first(), "small");
    // Has been served more than its share, but has no call to lose.
    rotation.serve("small", quantum);
    rotation.serve("small", quantum * 5.0);
    EXPECT_EQ(rotation.displaced_first(), "large");
}

/// A queue under more load than it can serve: calls of one large tenant keep it full.
struct crowded_queue {
    struct call {
        std::string tenant;
        milliseconds work;
    };

    explicit crowded_queue(bool in_turn) : takes_turns{in_turn} {}

    void offer(const std::string& tenant, milliseconds work)
    {
        ++offered[tenant];
        calls.push_back({tenant, work});
        rotation.add(tenant, work);
        if (calls.size() <= limit) {
            return;
        }
        const std::string victim = takes_turns ? std::string{rotation.displaced_first()} : tenant;
        const auto last = std::find_if(calls.rbegin(), calls.rend(),
                                       [&](const call& queued) { return queued.tenant == victim; });
        rotation.remove(victim, last->work);
        calls.erase(std::next(last).base());
    }

    void serve_one()
    {
        const std::string tenant =
            takes_turns ? std::string{rotation.next()} : calls.front().tenant;
        const auto first = std::find_if(calls.begin(), calls.end(), [&](const call& queued) {
            return queued.tenant == tenant;
        });
        rotation.serve(tenant, first->work);
        ++served[tenant];
        calls.erase(first);
    }

    double share(const std::string& tenant) { return served[tenant] / offered[tenant]; }

    static constexpr std::size_t limit = 20;
    bool takes_turns;
    tenant_rotation rotation{quantum};
    std::deque<call> calls;
    std::map<std::string, double> offered;
    std::map<std::string, double> served;
};

/// Replays a large tenant that sends a burst before each call of a small tenant, at five times the
/// capacity.
void replay_large_tenant(crowded_queue& queue)
{
    constexpr int rounds = 400;
    constexpr int small_tenants = 4;
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < small_tenants; ++i) {
            for (int burst = 0; burst < 9; ++burst) {
                queue.offer("large", quantum * (1.0 + burst % 3));
            }
            queue.offer("small-" + std::to_string(i), quantum);
            queue.serve_one();
            queue.serve_one();
        }
    }
}

// Guards against a large tenant that starves the others under load. The order of arrival fails the
// platform's bound, by which a tenant is served at least a quarter as often as all requests.
TEST(tenant_rotation, large_tenant_does_not_starve_the_others)
{
    crowded_queue in_order{false};
    replay_large_tenant(in_order);
    EXPECT_LT(in_order.share("small-0"), in_order.share("large") * 0.25);
    crowded_queue in_turn{true};
    replay_large_tenant(in_turn);
    for (int i = 0; i < 4; ++i) {
        EXPECT_GT(in_turn.share("small-" + std::to_string(i)), 0.95) << i;
    }
    // Its own calls are served as far as capacity is left.
    EXPECT_GT(in_turn.share("large"), 0.1);
}

// Guards against orders of calls in which one of several tenants with waiting calls gets more work
// served than another.
RC_GTEST_PROP(tenant_rotation, waiting_tenants_are_served_the_same_work, ())
{
    constexpr double largest = 40;
    const auto works = *rc::gen::container<std::vector<std::vector<int>>>(
        3, rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 41)));
    const milliseconds step{static_cast<double>(*rc::gen::inRange(1, 41))};
    tenant_rotation rotation{step};
    std::vector<std::size_t> position(works.size(), 0);
    std::vector<double> served(works.size(), 0.0);
    for (std::size_t tenant = 0; tenant < works.size(); ++tenant) {
        for (const int work : works[tenant]) {
            rotation.add(std::to_string(tenant), milliseconds{static_cast<double>(work)});
        }
    }
    const auto all_wait = [&] {
        return std::all_of(position.begin(), position.end(), [](auto at) { return at < 60; });
    };
    while (all_wait()) {
        const std::size_t tenant = std::stoul(std::string{rotation.next()});
        const double work = works[tenant][position[tenant]++];
        rotation.serve(std::to_string(tenant), milliseconds{work});
        served[tenant] += work;
        const auto [least, most] = std::minmax_element(served.begin(), served.end());
        RC_ASSERT(*most - *least <= 2.0 * (step.count() + largest));
    }
}

// Guards against decisions for tenants without calls, and against counts that drift from the queue
// over any order of joining, serving and leaving.
RC_GTEST_PROP(tenant_rotation, decisions_name_tenants_with_calls, ())
{
    tenant_rotation rotation{quantum};
    std::map<std::string, std::deque<double>> waiting;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 300)));
    for (const auto& [action, value] : steps) {
        const bool is_empty = std::all_of(waiting.begin(), waiting.end(),
                                          [](const auto& entry) { return entry.second.empty(); });
        RC_ASSERT(rotation.empty() == is_empty);
        if (action < 2 || is_empty) {
            const std::string tenant = std::to_string(value % 4);
            waiting[tenant].push_back(value);
            rotation.add(tenant, milliseconds{static_cast<double>(value)});
            continue;
        }
        const std::string chosen{action == 2 ? rotation.displaced_first() : rotation.next()};
        RC_ASSERT(!waiting[chosen].empty());
        const milliseconds work{waiting[chosen].front()};
        waiting[chosen].pop_front();
        if (action == 3) {
            rotation.serve(chosen, work);
        }
        else {
            rotation.remove(chosen, work);
        }
        RC_ASSERT(rotation.waiting(chosen) == waiting[chosen].size());
        RC_ASSERT(rotation.size() <= 4U);
    }
}

} // namespace
} // namespace chestnutstand
