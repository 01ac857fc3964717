#include "chestnutstand/node/upstream_registry.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint64_t first_born_ms = 1'000;
constexpr std::uint64_t second_born_ms = 5'000;

upstream_heartbeat heartbeat(const std::string& id, std::uint64_t born_ms, std::uint64_t sequence,
                             upstream_state state = upstream_state::ready)
{
    upstream_heartbeat result;
    result.upstream = {"ledger", "http://127.0.0.1:1", 9, id};
    result.state = state;
    result.sequence = sequence;
    result.born_ms = born_ms;
    return result;
}

class upstream_registry_test : public testing::Test {
protected:
    heartbeat_result announce(const upstream_heartbeat& received)
    {
        return registry_.announce(received, now_);
    }

    time_point now_{milliseconds{1'000'000}};
    std::optional<local_upstream> admitted_;
    upstream_registry registry_{
        [this](const std::optional<local_upstream>& upstream) { admitted_ = upstream; }};
};

// Guards against admitting a draining upstream again when a delayed heartbeat arrives.
TEST_F(upstream_registry_test, delayed_heartbeat_does_not_undo_a_drain)
{
    announce(heartbeat("a", first_born_ms, 1));
    ASSERT_TRUE(admitted_);
    announce(heartbeat("a", first_born_ms, 3, upstream_state::draining));
    EXPECT_FALSE(admitted_);
    EXPECT_EQ(announce(heartbeat("a", first_born_ms, 2)), heartbeat_result::outdated);
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", first_born_ms, 4));
    EXPECT_FALSE(admitted_);
}

// Guards against accepting a heartbeat of a crashed process that arrives after its successor has
// registered.
TEST_F(upstream_registry_test, heartbeat_of_an_older_process_is_outdated)
{
    announce(heartbeat("b", second_born_ms, 1));
    EXPECT_EQ(announce(heartbeat("a", first_born_ms, 50)), heartbeat_result::outdated);
    EXPECT_EQ(admitted_->id, "b");
}

// Guards against rejecting a process because an earlier process with the same id had reached a
// higher sequence number.
TEST_F(upstream_registry_test, restarted_process_with_the_same_id_starts_a_new_sequence)
{
    announce(heartbeat("a", first_born_ms, 50));
    announce(heartbeat("a", first_born_ms, 51, upstream_state::draining));
    EXPECT_EQ(announce(heartbeat("a", second_born_ms, 1)), heartbeat_result::accepted);
    EXPECT_TRUE(admitted_);
}

// Guards against admitting a process that left without draining when a delayed heartbeat arrives,
// also if its departure is the first message that this node receives about it.
TEST_F(upstream_registry_test, departed_process_is_not_admitted)
{
    registry_.leave("a", 0, first_born_ms + 100);
    announce(heartbeat("a", first_born_ms, 7));
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", second_born_ms, 1));
    ASSERT_TRUE(admitted_);
    registry_.leave("a", 0, second_born_ms + 100);
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", second_born_ms, 2));
    EXPECT_FALSE(admitted_);
}

// Guards against withdrawing an upstream when a delayed departure of an older process arrives.
TEST_F(upstream_registry_test, departure_of_an_older_process_does_not_withdraw_its_successor)
{
    announce(heartbeat("b", second_born_ms, 1));
    registry_.leave("a", 0, second_born_ms + 100);
    EXPECT_TRUE(admitted_);
    registry_.leave("b", first_born_ms, second_born_ms + 100);
    EXPECT_TRUE(admitted_);
}

// Guards against an upstream that keeps its lease after it has stopped sending heartbeats.
TEST_F(upstream_registry_test, silent_upstream_loses_its_lease)
{
    announce(heartbeat("a", first_born_ms, 1));
    registry_.expire(now_ + milliseconds{4'000});
    EXPECT_TRUE(admitted_);
    registry_.expire(now_ + milliseconds{6'000});
    EXPECT_FALSE(admitted_);
    now_ += milliseconds{7'000};
    announce(heartbeat("a", first_born_ms, 2));
    EXPECT_TRUE(admitted_);
}

class restarted_node : public upstream_registry_test {
protected:
    restarted_node()
    {
        registry_.verify_processes_born_before(
            second_born_ms, [this](const local_upstream& upstream, std::uint64_t) {
                verified_ids_.push_back(upstream.id);
            });
    }

    std::vector<std::string> verified_ids_;
};

// Guards against admitting a drained upstream after a restart: the node was killed after it had
// acknowledged the drain, and a delayed heartbeat from before the drain arrives at its new process.
TEST_F(restarted_node, does_not_admit_an_older_process_on_one_heartbeat)
{
    announce(heartbeat("a", first_born_ms, 4));
    EXPECT_FALSE(admitted_);
    EXPECT_EQ(verified_ids_.size(), 1U);
    announce(heartbeat("a", first_born_ms, 6, upstream_state::draining));
    registry_.confirm("a", first_born_ms, now_);
    EXPECT_FALSE(admitted_);
}

// Guards against an upstream that gets no calls after a restart of its node.
TEST_F(restarted_node, admits_an_older_process_that_confirms)
{
    announce(heartbeat("a", first_born_ms, 4));
    registry_.confirm("b", first_born_ms, now_);
    EXPECT_FALSE(admitted_);
    registry_.confirm("a", first_born_ms, now_);
    ASSERT_TRUE(admitted_);
    EXPECT_EQ(admitted_->id, "a");
    announce(heartbeat("a", first_born_ms, 5));
    EXPECT_EQ(verified_ids_.size(), 1U);
}

// Guards against excluding a healthy upstream whose health response wrongly reports a failure.
TEST_F(restarted_node, admits_an_older_process_that_keeps_sending_heartbeats)
{
    announce(heartbeat("a", first_born_ms, 4));
    announce(heartbeat("a", first_born_ms, 5));
    EXPECT_FALSE(admitted_);
    announce(heartbeat("a", first_born_ms, 6));
    EXPECT_TRUE(admitted_);
}

// Guards against an upstream that is never asked because its heartbeat came before the document
// with its health path.
TEST_F(restarted_node, verifies_a_waiting_process_when_there_is_a_new_way_to_ask_it)
{
    registry_.verify_waiting();
    EXPECT_TRUE(verified_ids_.empty());
    announce(heartbeat("a", first_born_ms, 4));
    registry_.verify_waiting();
    EXPECT_EQ(verified_ids_, (std::vector<std::string>{"a", "a"}));
    registry_.confirm("a", first_born_ms, now_);
    EXPECT_TRUE(admitted_);
    registry_.verify_waiting();
    EXPECT_EQ(verified_ids_.size(), 2U);
    registry_.leave("a", first_born_ms, first_born_ms + 100);
    announce(heartbeat("b", first_born_ms + 200, 1));
    registry_.leave("b", first_born_ms + 200, first_born_ms + 300);
    const auto asked = verified_ids_.size();
    registry_.verify_waiting();
    EXPECT_EQ(verified_ids_.size(), asked);
}

// Guards against admitting a drained upstream because one delayed heartbeat arrives several times.
TEST_F(restarted_node, counts_a_repeated_heartbeat_once)
{
    for (int i = 0; i < 5; ++i) {
        announce(heartbeat("a", first_born_ms, 4));
    }
    EXPECT_FALSE(admitted_);
}

// Guards against delaying a new upstream that cannot have deregistered from an earlier process of
// the node.
TEST_F(restarted_node, admits_a_newer_process_immediately)
{
    announce(heartbeat("b", second_born_ms, 1));
    EXPECT_TRUE(admitted_);
    EXPECT_TRUE(verified_ids_.empty());
}

} // namespace
} // namespace chestnutstand
