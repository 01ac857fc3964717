#include "chestnutstand/routing/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

namespace chestnutstand {
namespace {

// Guards against more retries than the ratio of successful calls and the minimum rate allow, for
// any order of successes and retries.
TEST(retry_budget, stays_within_ratio_and_minimum_rate)
{
    EXPECT_TRUE(rc::check([] {
        constexpr double ratio = 0.1;
        time_point now{milliseconds{1'000'000}};
        retry_budget budget{now};
        double elapsed_ms = 0.0;
        double successes = 0.0;
        double retries = 0.0;
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int event : events) {
            elapsed_ms += event;
            now += milliseconds{static_cast<double>(event)};
            successes += 1.0;
            budget.record_success(ratio);
            for (int i = 0; i < event % 5; ++i) {
                retries += budget.try_take(now) ? 1.0 : 0.0;
            }
            const double allowed = retry_budget::initial_tokens + ratio * successes +
                                   retry_budget::min_retries_per_s * elapsed_ms / 1000.0;
            RC_ASSERT(retries <= allowed + 1e-6);
        }
    }));
}

// Guards against an unbounded number of unused tokens, which a sudden failure would turn into a
// burst of retries.
TEST(retry_budget, holds_a_bounded_number_of_tokens)
{
    time_point now{milliseconds{1'000'000}};
    retry_budget budget{now};
    for (int i = 0; i < 100'000; ++i) {
        budget.record_success(0.1);
    }
    double taken_tokens = 0.0;
    while (budget.try_take(now)) {
        taken_tokens += 1.0;
    }
    EXPECT_EQ(taken_tokens, retry_budget::max_tokens);
}

/// A tree of calls with random failures of attempts, with and without reaching the upstream. The
/// upstream of a call copies the budget that it receives to each of its own calls.
class call_tree {
public:
    call_tree(std::vector<std::vector<std::size_t>> children, std::uint64_t seed)
        : children_{std::move(children)}, attempts_(children_.size()), random_{seed},
          failing_percent_{std::uniform_int_distribution<int>{0, 100}(random_)}
    {
    }

    /// Attempts the call until it succeeds or its budget is exhausted, at most four times. Returns
    /// whether it succeeded.
    bool dispatch(std::size_t index, std::uint32_t received)
    {
        tree_budget budget{received};
        for (int attempt = 0; attempt < 4; ++attempt) {
            const auto carried = budget.start();
            if (!carried) {
                return false;
            }
            if (percent() < failing_percent_ && percent() < 30) {
                budget.give_back(*carried); // The attempt reached no upstream.
                continue;
            }
            if (execute(index, *carried)) {
                return true;
            }
        }
        return false;
    }

    std::uint64_t most_attempts_of_one_call() const
    {
        return *std::max_element(attempts_.begin(), attempts_.end());
    }

private:
    bool execute(std::size_t index, std::uint32_t carried)
    {
        ++attempts_[index];
        bool all_succeeded = true;
        for (const std::size_t child : children_[index]) {
            all_succeeded = dispatch(child, carried) && all_succeeded;
        }
        return all_succeeded && percent() >= failing_percent_;
    }

    int percent() { return std::uniform_int_distribution<int>{0, 99}(random_); }

    std::vector<std::vector<std::size_t>> children_;
    std::vector<std::uint64_t> attempts_;
    std::mt19937_64 random_;
    int failing_percent_;
};

/// Builds a tree of calls, at most 25 deep, from the offsets between each call and its caller.
std::vector<std::vector<std::size_t>> grow_tree(const std::vector<std::size_t>& offsets)
{
    constexpr std::size_t max_depth = 25;
    std::vector<std::vector<std::size_t>> children(offsets.size() + 1);
    std::vector<std::size_t> depth(offsets.size() + 1, 0);
    for (std::size_t i = 1; i <= offsets.size(); ++i) {
        std::size_t caller = i - std::min(i, 1 + offsets[i - 1] % 4);
        if (depth[caller] == max_depth) {
            caller = 0;
        }
        depth[i] = depth[caller] + 1;
        children[caller].push_back(i);
    }
    return children;
}

// Guards against retries that multiply with the depth of a call tree. Each call may reach an
// upstream at most budget + 1 times, so that the whole tree has at most (budget + 1) x calls
// attempts.
TEST(tree_budget, bounds_attempts_at_any_depth)
{
    EXPECT_TRUE(rc::check([] {
        const auto offsets =
            *rc::gen::container<std::vector<std::size_t>>(60, rc::gen::inRange<std::size_t>(0, 4));
        const auto budget = *rc::gen::inRange<std::uint32_t>(0, 12);
        call_tree tree{grow_tree(offsets), *rc::gen::arbitrary<std::uint64_t>()};
        tree.dispatch(0, budget);
        RC_ASSERT(tree.most_attempts_of_one_call() <= budget + 1ULL);
    }));
}

// Guards against losing the budget of attempts that reach no upstream, and against a budget that
// permits no retry.
TEST(tree_budget, keeps_one_retry_and_returns_unused_parts)
{
    tree_budget budget{3};
    EXPECT_EQ(budget.start(), 2U);
    budget.give_back(2);
    EXPECT_EQ(budget.start(), 2U);
    EXPECT_EQ(budget.start(), 0U);
    EXPECT_EQ(budget.start(), std::nullopt);
    tree_budget empty{0};
    EXPECT_EQ(empty.start(), 0U);
    EXPECT_EQ(empty.start(), std::nullopt);
}

// Guards against nodes that stay within their own limits but together exceed those of the fleet.
TEST(retry_budget, shares_of_all_nodes_stay_within_the_limits_of_the_fleet)
{
    constexpr std::size_t nodes = 12;
    const fleet_retry_limits limits{0.2, 56.0, milliseconds{10'000}};
    time_point now{milliseconds{1'000'000}};
    std::vector<retry_budget> budgets(nodes, retry_budget{now});
    for (auto& budget : budgets) {
        budget.set_share(share_per_node(limits, nodes));
        while (budget.try_take(now)) {
        }
        budget.set_share(share_per_node(limits, nodes));
    }
    now += milliseconds{60'000};
    double calls = 0.0;
    double retries = 0.0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        now += milliseconds{100};
        for (auto& budget : budgets) {
            budget.record_success(0.1);
            calls += 1.0;
            while (budget.try_take(now)) {
                retries += 1.0;
            }
        }
    }
    EXPECT_LE(retries, limits.ratio * calls + limits.slack);
    EXPECT_GE(retries, limits.ratio * calls / 4.0);
}

} // namespace
} // namespace chestnutstand
