#include "chestnutstand/membership/routing_changes.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

routing_table table_of(std::initializer_list<std::uint64_t> instances)
{
    routing_table table;
    for (const std::uint64_t instance : instances) {
        member each;
        each.node.instance = instance;
        each.service = "ledger";
        table.by_service[each.service].push_back(each);
    }
    return table;
}

// Guards against a member whose entry or departure is missing in the logs.
TEST(routing_changes, names_who_enters_and_who_leaves)
{
    const auto changes = compare_routes(table_of({1, 2}), table_of({2, 3}));
    ASSERT_EQ(changes.added.size(), 1U);
    EXPECT_EQ(changes.added.front().node.instance, 3U);
    ASSERT_EQ(changes.removed.size(), 1U);
    EXPECT_EQ(changes.removed.front().node.instance, 1U);
}

// Guards against a member whose upstream is replaced by one of another service unnoticed.
TEST(routing_changes, a_member_that_changes_its_service_leaves_and_enters)
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
