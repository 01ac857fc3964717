#include "chestnutstand/tenancy/quota_view.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint64_t self = 1;
const time_point start{milliseconds{1'000'000}};
const time_point settled_at = start + milliseconds{3'000};

member make_member(std::uint64_t instance, liveness state = liveness::alive, bool draining = false)
{
    member made;
    made.node = {instance, "10.0.0." + std::to_string(instance), 1};
    made.gossip_port = 1;
    made.state = state;
    made.draining = draining;
    return made;
}

std::vector<member> make_members(std::uint64_t count)
{
    std::vector<member> members;
    for (std::uint64_t instance = 1; instance <= count; ++instance) {
        members.push_back(make_member(instance));
    }
    return members;
}

std::shared_ptr<const quota_view> view_of(const std::vector<member>& members)
{
    return quota_view_tracker{self, start}.update(members, milliseconds{0}, 0, settled_at);
}

// Guards against nodes that choose different owners, and against one owner of all tenants.
TEST(quota_view, all_nodes_choose_the_same_owner_and_spread_the_tenants)
{
    auto members = make_members(10);
    const auto view = view_of(members);
    std::reverse(members.begin(), members.end());
    const auto other = quota_view_tracker{2, start}.update(members, {}, 0, settled_at);
    std::map<std::uint64_t, int> owned;
    for (int i = 0; i < 200; ++i) {
        const std::string tenant = "tenant-" + std::to_string(i);
        EXPECT_EQ(view->choose(tenant).owner, other->choose(tenant).owner);
        ++owned[view->choose(tenant).owner->instance];
    }
    EXPECT_EQ(owned.size(), 10U);
}

// Guards against a change of a member that moves the tenants of others, and against a draining
// owner.
TEST(quota_view, a_drained_member_passes_its_tenants_to_their_stand_ins)
{
    auto members = make_members(10);
    const auto before = view_of(members);
    members[3].draining = true;
    const auto after = view_of(members);
    for (int i = 0; i < 200; ++i) {
        const std::string tenant = "tenant-" + std::to_string(i);
        const auto old_choice = before->choose(tenant);
        const bool moves = old_choice.owner->instance == members[3].node.instance;
        const auto expected = moves ? old_choice.stand_in : old_choice.owner;
        EXPECT_EQ(after->choose(tenant).owner, expected);
        if (moves) {
            const auto& former = after->choose(tenant).predecessors;
            EXPECT_NE(std::find(former.begin(), former.end(), members[3].node), former.end());
        }
    }
}

// Guards against a node that grants before it has joined, after a pause or while it is cut off.
TEST(quota_view, is_settled_only_while_it_hears_others)
{
    quota_view_tracker tracker{self, start};
    const auto members = make_members(3);
    const auto settled = [&](milliseconds silence, milliseconds at) {
        return tracker.update(members, silence, 3, start + at)->settled;
    };
    EXPECT_FALSE(settled(milliseconds{0}, milliseconds{1'000}));
    EXPECT_TRUE(settled(milliseconds{0}, milliseconds{3'500}));
    EXPECT_FALSE(settled(milliseconds{2'500}, milliseconds{4'500}));
    EXPECT_FALSE(settled(milliseconds{0}, milliseconds{6'000}));
    EXPECT_TRUE(settled(milliseconds{0}, milliseconds{8'000}));
    EXPECT_FALSE(settled(milliseconds{0}, milliseconds{20'000})) << "after a pause";
}

// Guards against a node that was restarted behind a partition and takes its side for the whole
// cluster, and against addresses that are gone for good and lower the share for ever.
TEST(quota_view, counts_the_member_directory_after_the_start)
{
    quota_view_tracker tracker{self, start};
    const auto side = make_members(2);
    EXPECT_EQ(tracker.update(side, {}, 8, settled_at)->known, 8U);
    EXPECT_EQ(tracker.update(side, {}, 8, start + milliseconds{400'000})->known, 2U);
}

// Guards against a single node that never grants because it hears no other.
TEST(quota_view, a_single_node_is_settled)
{
    const auto lone = make_members(1);
    const auto view =
        quota_view_tracker{self, start}.update(lone, milliseconds{3'000}, 1, settled_at);
    EXPECT_TRUE(view->settled);
    EXPECT_EQ(view->known, 1U);
}

// Guards against a lost member that counts as gone although it may run behind a partition, against
// a restarted one that counts twice, and against a share that rises at once after a partition.
TEST(quota_view, counts_members_by_address)
{
    quota_view_tracker tracker{self, start};
    auto members = make_members(4);
    members[3].state = liveness::dead;
    auto view = tracker.update(members, {}, 4, settled_at);
    EXPECT_EQ(view->seen, 3U);
    EXPECT_EQ(view->known, 4U);
    members[3].state = liveness::alive;
    view = tracker.update(members, {}, 4, settled_at + milliseconds{1'000});
    EXPECT_EQ(view->seen, 3U);
    view = tracker.update(members, {}, 4, settled_at + milliseconds{12'000});
    EXPECT_EQ(view->seen, 4U);
    members[3].state = liveness::dead;
    auto successor = make_member(9);
    successor.node.address = members[3].node.address;
    members.push_back(successor);
    view = tracker.update(members, {}, 4, settled_at + milliseconds{13'000});
    EXPECT_EQ(view->seen, 4U);
    EXPECT_EQ(view->known, 4U);
}

// Guards against a successor that grants while a group of lost members may still do so, and against
// a needless wait after the loss of a single one, which stops by itself.
TEST(quota_view, waits_for_a_group_of_lost_members)
{
    const std::string tenant = "acme";
    auto members = make_members(10);
    const auto owner = *view_of(members)->choose(tenant).owner;
    members[owner.instance - 1].state = liveness::dead;
    EXPECT_LE(view_of(members)->choose(tenant).earliest_grant, settled_at);
    const auto other = owner.instance % members.size();
    members[other].state = liveness::dead;
    EXPECT_GT(view_of(members)->choose(tenant).earliest_grant, settled_at + milliseconds{4'000});
}

} // namespace
} // namespace chestnutstand
