#include "fault_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace chestnutstand::soak {
namespace {

constexpr milliseconds length{30'000};

// Guards against a seed that does not reproduce the plan of a failed run.
TEST(fault_plan, is_the_same_for_a_seed)
{
    const auto first = plan_faults(7, length, 6);
    const auto second = plan_faults(7, length, 6);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].kind, second[i].kind);
        EXPECT_EQ(first[i].node, second[i].node);
        EXPECT_EQ(first[i].from, second[i].from);
        EXPECT_EQ(first[i].duration, second[i].duration);
        EXPECT_EQ(first[i].variant, second[i].variant);
    }
}

// Guards against kinds that are never planned, and against faults that never overlap.
TEST(fault_plan, has_all_kinds_and_overlaps)
{
    std::set<fault_kind> kinds;
    std::size_t overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto plan = plan_faults(seed, length, 6);
        for (std::size_t i = 0; i < plan.size(); ++i) {
            kinds.insert(plan[i].kind);
            overlaps += i > 0 && plan[i].from < plan[i - 1].from + plan[i - 1].duration ? 1 : 0;
        }
    }
    EXPECT_EQ(kinds.size(), fault_kind_names.size());
    EXPECT_GT(overlaps, 100U);
}

} // namespace
} // namespace chestnutstand::soak
