#include "chestnutstand/membership/routing_changes.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

routing_table table_of(std::initializer_list<std::uint64_t> instances)
{
    routing_table table;
    for (const std::uint64_t instance : instances) {
        member added;
        added.node.instance = instance;
        added.service = "ledger";
        table.by_service[added.service].push_back(added);
    }
    return table;
}

// Guards against added or removed members that are missing in the logs.
TEST(routing_changes, reports_added_and_removed_members)
{
    const auto changes = compare_routes(table_of({1, 2}), table_of({2, 3}));
    ASSERT_EQ(changes.added.size(), 1U);
    EXPECT_EQ(changes.added.front().node.instance, 3U);
    ASSERT_EQ(changes.removed.size(), 1U);
    EXPECT_EQ(changes.removed.front().node.instance, 1U);
}

// Guards against a change of a member's service that is missing in the logs.
TEST(routing_changes, service_change_is_a_removal_and_an_addition)
{
    auto moved = table_of({1});
    moved.by_service["view"] = moved.by_service["ledger"];
    moved.by_service["view"].front().service = "view";
    moved.by_service.erase("ledger");
    const auto changes = compare_routes(table_of({1}), moved);
    EXPECT_EQ(changes.added.size(), 1U);
    EXPECT_EQ(changes.removed.size(), 1U);
    EXPECT_TRUE(compare_routes(moved, moved).added.empty());
}

} // namespace
} // namespace chestnutstand
