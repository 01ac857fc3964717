#include "chestnutstand/keys/attempt_ledger.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

constexpr const char* id = "attempt";

class attempt_ledger_test : public testing::Test {
protected:
    settle_state settle() { return ledger_.settle(id, now_).state; }

    static call_result completed()
    {
        return {call_outcome::completed, reason_code::none, {200, {}, "answer"}, {}};
    }

    time_point now_{milliseconds{1'000'000}};
    attempt_ledger ledger_;
};

// Guards against a call that runs after it was reported as not run, because the settlement arrived
// before it.
TEST_F(attempt_ledger_test, fences_a_call_that_has_not_arrived)
{
    EXPECT_EQ(settle(), settle_state::fenced);
    EXPECT_FALSE(ledger_.admit(id, now_));
}

// Guards against a queued call that starts after it was settled.
TEST_F(attempt_ledger_test, fences_a_queued_call)
{
    EXPECT_TRUE(ledger_.admit(id, now_));
    EXPECT_EQ(settle(), settle_state::fenced);
    EXPECT_FALSE(ledger_.start(id));
}

// Guards against a query about an overdue call that costs a queued call its place, and against one
// that does not fence a call that has not arrived.
TEST_F(attempt_ledger_test, keeps_a_queued_call_for_a_query_about_an_overdue_one)
{
    EXPECT_TRUE(ledger_.admit(id, now_));
    EXPECT_EQ(ledger_.settle(id, now_, queued_attempt::keep).state, settle_state::running);
    EXPECT_TRUE(ledger_.start(id));
    EXPECT_EQ(ledger_.settle("lost", now_, queued_attempt::keep).state, settle_state::fenced);
    EXPECT_FALSE(ledger_.admit("lost", now_));
}

// Guards against a repeatable call that is refused because its id was used before, and against one
// that runs although it is fenced.
TEST_F(attempt_ledger_test, repeatable_call_runs_again_unless_it_is_fenced)
{
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(ledger_.admit(id, now_, true));
        EXPECT_TRUE(ledger_.start(id, true));
    }
    ledger_.finish(id, completed(), now_);
    EXPECT_TRUE(ledger_.admit(id, now_, true));
    EXPECT_EQ(settle(), settle_state::fenced);
    EXPECT_FALSE(ledger_.start(id, true));
    EXPECT_FALSE(ledger_.admit(id, now_, true));
}

// Guards against a running call that is settled as fenced, and against a lost response.
TEST_F(attempt_ledger_test, reports_a_running_call_and_then_its_response)
{
    ledger_.admit(id, now_);
    EXPECT_TRUE(ledger_.start(id));
    EXPECT_EQ(settle(), settle_state::running);
    ledger_.finish(id, completed(), now_);
    const settle_result ended = ledger_.settle(id, now_);
    EXPECT_EQ(ended.state, settle_state::completed);
    EXPECT_EQ(ended.response.body, "answer");
    EXPECT_FALSE(ledger_.admit(id, now_));
}

// Guards against a duplicate that runs concurrently with the first copy of a call.
TEST_F(attempt_ledger_test, admits_an_id_once)
{
    EXPECT_TRUE(ledger_.admit(id, now_));
    EXPECT_FALSE(ledger_.admit(id, now_));
}

// Guards against a call that cannot be sent again to the node that refused it while it was busy.
TEST_F(attempt_ledger_test, admits_a_refused_call_again)
{
    ledger_.admit(id, now_);
    ledger_.refuse(id);
    EXPECT_TRUE(ledger_.admit(id, now_));
    EXPECT_TRUE(ledger_.start(id));
    ledger_.refuse(id);
    EXPECT_EQ(settle(), settle_state::running);
}

// Guards against a ledger that grows without bound, and against a fence that is removed while a
// delayed copy of its call may still arrive.
TEST_F(attempt_ledger_test, removes_a_fence_after_the_retention)
{
    settle();
    now_ += milliseconds{30'000};
    EXPECT_FALSE(ledger_.admit(id, now_));
    now_ += milliseconds{40'000};
    EXPECT_TRUE(ledger_.admit(id, now_));
    EXPECT_EQ(ledger_.size(), 1U);
}

// Guards against stored responses that exhaust the memory of a node.
TEST_F(attempt_ledger_test, keeps_a_bounded_number_of_response_bytes)
{
    call_result large = completed();
    large.response.body = std::string(std::size_t{1} << 20U, 'x');
    for (int i = 0; i < 10; ++i) {
        const std::string attempt_id = std::to_string(i);
        ledger_.admit(attempt_id, now_);
        ledger_.start(attempt_id);
        ledger_.finish(attempt_id, large, now_);
    }
    EXPECT_EQ(ledger_.settle("0", now_).state, settle_state::completed);
    EXPECT_EQ(ledger_.settle("9", now_).state, settle_state::unknown);
}

// Guards against an issued key that is mistaken for the key text of an attempt.
TEST_F(attempt_ledger_test, distinguishes_attempt_keys_from_issued_keys)
{
    for (const auto queued : {queued_attempt::fence, queued_attempt::keep}) {
        const auto parsed = parse_attempt_key(attempt_key({"r1", queued}));
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->request_id, "r1");
        EXPECT_EQ(parsed->queued, queued);
    }
    EXPECT_FALSE(parse_attempt_key("issued"));
    EXPECT_FALSE(parse_attempt_key("attempt:"));
}

} // namespace
} // namespace chestnutstand
