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
    std::vector<call_result> results;

    execution_decision enqueue()
    {
        return keys.enqueue(key, request,
                            [&](const call_result& result) { results.push_back(result); }, {});
    }
    settle_state settle() { return keys.settle(key, {})->state; }
};

// Guards against a queued call that starts after its owner was told that it did not run.
TEST_F(executor_keys_test, fences_a_queued_call)
{
    const auto queued = enqueue();
    ASSERT_EQ(queued.action, execution_decision::kind::run);
    EXPECT_EQ(settle(), settle_state::fenced);
    EXPECT_FALSE(keys.start(queued.id));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, call_outcome::not_run);
    EXPECT_EQ(results[0].reason, reason_code::key_fenced);
}

// Guards against a call that runs although it arrives after its key was fenced.
TEST_F(executor_keys_test, fences_a_call_that_has_not_arrived)
{
    EXPECT_EQ(settle(), settle_state::fenced);
    const auto delayed = enqueue();
    EXPECT_EQ(delayed.action, execution_decision::kind::answered);
    EXPECT_EQ(delayed.result.outcome, call_outcome::not_run);
}

// Guards against a fence on a running call, which would be a false proof that it did not run.
TEST_F(executor_keys_test, does_not_fence_a_running_call)
{
    const auto queued = enqueue();
    ASSERT_TRUE(keys.start(queued.id));
    EXPECT_EQ(settle(), settle_state::running);
    keys.refuse(queued.id, reason_code::queue_timeout, {});
    EXPECT_EQ(enqueue().action, execution_decision::kind::attached);
    keys.finish(queued.id, {call_outcome::completed, reason_code::none, {200, {}, "x"}, {}}, {});
    EXPECT_EQ(results.size(), 2U);
    EXPECT_EQ(keys.settle(key, {})->response.body, "x");
    EXPECT_EQ(enqueue().result.response.body, "x");
}

// Guards against a duplicate that runs after the queue refused the first copy of the call.
TEST_F(executor_keys_test, refusal_by_the_queue_is_final)
{
    const auto queued = enqueue();
    keys.refuse(queued.id, reason_code::queue_timeout, {});
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].reason, reason_code::queue_timeout);
    EXPECT_FALSE(keys.start(queued.id));
    EXPECT_EQ(enqueue().result.outcome, call_outcome::not_run);
    EXPECT_EQ(settle(), settle_state::fenced);
}

// Guards against an executor that runs a key without being one of its candidates: a settlement
// queries only the candidates.
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
