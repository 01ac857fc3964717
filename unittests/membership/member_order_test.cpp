#include "chestnutstand/membership/member_order.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chestnutstand {
namespace {

// Generates states of one member with few distinct values, so that ties are frequent.
member arbitrary_state()
{
    member state;
    state.node = {7, "10.0.0.7", 70};
    state.incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
    state.state = static_cast<liveness>(*rc::gen::inRange(0, 4));
    state.service = *rc::gen::element<std::string>("", "ledger-view", "crate-yard");
    state.draining = *rc::gen::arbitrary<bool>();
    state.slots = *rc::gen::inRange<std::uint32_t>(0, 3);
    return state;
}

bool is_same(const member& a, const member& b)
{
    return a.node == b.node && a.incarnation == b.incarnation && a.state == b.state &&
           a.service == b.service && a.draining == b.draining && a.slots == b.slots;
}

// Guards against nodes that end up with different states of a member because they received the same
// updates in a different order, grouping or number.
TEST(member_order, merge_is_a_semilattice)
{
    EXPECT_TRUE(rc::check([] {
        const member a = arbitrary_state();
        const member b = arbitrary_state();
        const member c = arbitrary_state();
        RC_ASSERT(is_same(merge(a, a), a));
        RC_ASSERT(is_same(merge(a, b), merge(b, a)));
        RC_ASSERT(is_same(merge(merge(a, b), c), merge(a, merge(b, c))));
    }));
}

// Guards against a member that stays suspect although it has refuted the suspicion.
TEST(member_order, refutation_wins_over_earlier_suspicion)
{
    EXPECT_TRUE(rc::check([] {
        member suspected = arbitrary_state();
        suspected.state = *rc::gen::element(liveness::suspect, liveness::dead);
        member refuted = arbitrary_state();
        refuted.state = liveness::alive;
        refuted.incarnation = suspected.incarnation + 1;
        RC_ASSERT(merge(suspected, refuted).state == liveness::alive);
    }));
}

// Guards against delayed messages that add a dead member to the routing tables again.
TEST(member_order, dead_is_not_revived_without_higher_incarnation)
{
    EXPECT_TRUE(rc::check([] {
        member dead = arbitrary_state();
        dead.state = *rc::gen::element(liveness::dead, liveness::left);
        member late = arbitrary_state();
        RC_PRE(late.incarnation <= dead.incarnation);
        RC_ASSERT(!is_live(merge(late, dead)));
    }));
}

} // namespace
} // namespace chestnutstand
