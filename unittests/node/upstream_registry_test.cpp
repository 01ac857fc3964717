#include "chestnutstand/node/upstream_registry.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint64_t first_born = 1'000;
constexpr std::uint64_t second_born = 5'000;

upstream_heartbeat heartbeat(const std::string& id, std::uint64_t born, std::uint64_t sequence,
                             upstream_state state = upstream_state::ready)
{
    upstream_heartbeat made;
    made.upstream = {"ledger", "http://127.0.0.1:1", 9, id};
    made.state = state;
    made.sequence = sequence;
    made.born_ms = born;
    return made;
}

class upstream_registry_test : public testing::Test {
protected:
    heartbeat_result announce(const upstream_heartbeat& given)
    {
        return registry_.announce(given, now_);
    }

    time_point now_{milliseconds{1'000'000}};
    std::optional<local_upstream> admitted_;
    upstream_registry registry_{
        [this](const std::optional<local_upstream>& upstream) { admitted_ = upstream; }};
};

// Guards against a late heartbeat that brings back an upstream which has said that it drains.
TEST_F(upstream_registry_test, late_heartbeat_does_not_undo_a_drain)
{
    announce(heartbeat("a", first_born, 1));
    ASSERT_TRUE(admitted_);
    announce(heartbeat("a", first_born, 3, upstream_state::draining));
    EXPECT_FALSE(admitted_);
    EXPECT_EQ(announce(heartbeat("a", first_born, 2)), heartbeat_result::outdated);
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", first_born, 4));
    EXPECT_FALSE(admitted_);
}

// Guards against the heartbeat of a crashed process that arrives after its successor registered.
TEST_F(upstream_registry_test, heartbeat_of_an_older_process_is_outdated)
{
    announce(heartbeat("b", second_born, 1));
    EXPECT_EQ(announce(heartbeat("a", first_born, 50)), heartbeat_result::outdated);
    EXPECT_EQ(admitted_->id, "b");
}

// Guards against a process that is not admitted because one before it had the same id and counted
// further.
TEST_F(upstream_registry_test, restarted_process_with_the_same_id_counts_anew)
{
    announce(heartbeat("a", first_born, 50));
    announce(heartbeat("a", first_born, 51, upstream_state::draining));
    EXPECT_EQ(announce(heartbeat("a", second_born, 1)), heartbeat_result::accepted);
    EXPECT_TRUE(admitted_);
}

// Guards against a process that left without draining and is admitted again by a late heartbeat,
// also when its departure is the first that this node hears of it.
TEST_F(upstream_registry_test, departed_process_is_not_admitted)
{
    registry_.leave("a", 0, first_born + 100);
    announce(heartbeat("a", first_born, 7));
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", second_born, 1));
    ASSERT_TRUE(admitted_);
    registry_.leave("a", 0, second_born + 100);
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", second_born, 2));
    EXPECT_FALSE(admitted_);
}

// Guards against a late departure of an older process that withdraws its successor.
TEST_F(upstream_registry_test, departure_of_an_older_process_does_not_withdraw_its_successor)
{
    announce(heartbeat("b", second_born, 1));
    registry_.leave("a", 0, second_born + 100);
    EXPECT_TRUE(admitted_);
    registry_.leave("b", first_born, second_born + 100);
    EXPECT_TRUE(admitted_);
}

// Guards against an upstream that keeps its lease after it has gone silent.
TEST_F(upstream_registry_test, silent_upstream_loses_its_lease)
{
    announce(heartbeat("a", first_born, 1));
    registry_.expire(now_ + milliseconds{4'000});
    EXPECT_TRUE(admitted_);
    registry_.expire(now_ + milliseconds{6'000});
    EXPECT_FALSE(admitted_);
    now_ += milliseconds{7'000};
    announce(heartbeat("a", first_born, 2));
    EXPECT_TRUE(admitted_);
}

class restarted_node : public upstream_registry_test {
protected:
    restarted_node()
    {
        registry_.verify_born_before(second_born,
                                     [this](const local_upstream& upstream, std::uint64_t) {
                                         asked_.push_back(upstream.id);
                                     });
    }

    std::vector<std::string> asked_;
};

// Guards against a node that was killed after it had acknowledged a drain, starts again and
// believes a late heartbeat from before the drain.
TEST_F(restarted_node, does_not_admit_an_older_process_on_one_heartbeat)
{
    announce(heartbeat("a", first_born, 4));
    EXPECT_FALSE(admitted_);
    EXPECT_EQ(asked_.size(), 1U);
    announce(heartbeat("a", first_born, 6, upstream_state::draining));
    registry_.confirm("a", first_born, now_);
    EXPECT_FALSE(admitted_);
}

// Guards against an upstream that gets no work after a restart of its node.
TEST_F(restarted_node, admits_an_older_process_that_confirms)
{
    announce(heartbeat("a", first_born, 4));
    registry_.confirm("b", first_born, now_);
    EXPECT_FALSE(admitted_);
    registry_.confirm("a", first_born, now_);
    ASSERT_TRUE(admitted_);
    EXPECT_EQ(admitted_->id, "a");
    announce(heartbeat("a", first_born, 5));
    EXPECT_EQ(asked_.size(), 1U);
}

// Guards against an upstream that is well and whose health answer says otherwise.
TEST_F(restarted_node, admits_an_older_process_that_goes_on_sending_heartbeats)
{
    announce(heartbeat("a", first_born, 4));
    announce(heartbeat("a", first_born, 5));
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", first_born, 6));
    EXPECT_TRUE(admitted_);
}

// Guards against a new upstream that waits although no earlier process of the node can know it.
TEST_F(restarted_node, admits_a_younger_process_at_once)
{
    announce(heartbeat("b", second_born, 1));
    EXPECT_TRUE(admitted_);
    EXPECT_TRUE(asked_.empty());
}

} // namespace
} // namespace chestnutstand
