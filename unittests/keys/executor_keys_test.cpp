#include "chestnutstand/keys/executor_keys.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

constexpr std::uint64_t own_instance = 8;
constexpr std::string_view secret = "test secret";
constexpr fingerprint request{1};

std::string key_for(std::uint64_t candidate)
{
    return encode({{7, "a", 1}, {{candidate, "b", 2}}, 1, milliseconds{0}, "ledger"}, secret);
}

struct executor_keys_test : testing::Test {
    executor_keys keys{own_instance, std::string{secret}, {}};
    std::string key = key_for(own_instance);
    std::vector<call_result> answers;

    execution_decision enqueue()
    {
        return keys.enqueue(key, request, [&](const call_result& r) { answers.push_back(r); }, {});
    }
    settle_state settle() { return keys.settle(key, {})->state; }
};

// Guards against a queued call that starts after its owner was told that it had not run.
TEST_F(executor_keys_test, fence_wins_against_a_queued_call)
{
    const auto queued = enqueue();
    ASSERT_EQ(queued.action, execution_decision::kind::run);
    EXPECT_EQ(settle(), settle_state::fenced);
    EXPECT_FALSE(keys.start(queued.id));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, call_outcome::not_run);
    EXPECT_EQ(answers[0].reason, reason_code::key_fenced);
}

// Guards against a call that runs when it arrives after its fence.
TEST_F(executor_keys_test, fence_stays_for_a_delayed_call)
{
    EXPECT_EQ(settle(), settle_state::fenced);
    const auto late = enqueue();
    EXPECT_EQ(late.action, execution_decision::kind::answered);
    EXPECT_EQ(late.result.outcome, call_outcome::not_run);
}

// Guards against a fence on a running call, which would prove what is not so.
TEST_F(executor_keys_test, running_call_is_not_fenced)
{
    const auto queued = enqueue();
    ASSERT_TRUE(keys.start(queued.id));
    EXPECT_EQ(settle(), settle_state::running);
    keys.refuse(queued.id, reason_code::queue_timeout, {});
    EXPECT_EQ(enqueue().action, execution_decision::kind::attached);
    keys.finish(queued.id, {call_outcome::completed, reason_code::none, {200, {}, "x"}, {}}, {});
    EXPECT_EQ(answers.size(), 2U);
    EXPECT_EQ(keys.settle(key, {})->response.body, "x");
    EXPECT_EQ(enqueue().result.response.body, "x");
}

// Guards against a refusal from the queue that a second copy of the call undoes.
TEST_F(executor_keys_test, refusal_from_the_queue_is_final)
{
    const auto queued = enqueue();
    keys.refuse(queued.id, reason_code::queue_timeout, {});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason, reason_code::queue_timeout);
    EXPECT_FALSE(keys.start(queued.id));
    EXPECT_EQ(enqueue().result.outcome, call_outcome::not_run);
    EXPECT_EQ(settle(), settle_state::fenced);
}

// Guards against an executor that runs a key that names another process, which no settlement would
// ask.
TEST_F(executor_keys_test, refuses_keys_of_other_executors)
{
    key = key_for(own_instance + 1);
    EXPECT_EQ(enqueue().result.reason, reason_code::wrong_instance);
    EXPECT_EQ(settle(), settle_state::wrong_instance);
    key = "no key";
    EXPECT_EQ(enqueue().result.reason, reason_code::malformed_key);
    EXPECT_FALSE(keys.settle(key, {}).ok());
}

} // namespace
} // namespace chestnutstand
