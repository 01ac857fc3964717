#include "key_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <random>

namespace chestnutstand {
namespace {

using simulation::cluster;
using simulation::injected_defect;

constexpr int longest_script = 600;
constexpr int scripts_per_rule = 2'000;

std::vector<std::uint8_t> random_script(std::mt19937& random)
{
    std::vector<std::uint8_t> script(longest_script);
    for (auto& choice : script) {
        choice = static_cast<std::uint8_t>(random());
    }
    return script;
}

/// True when one of the scripts breaks the expected rule.
bool is_noticed(injected_defect broken, history::rule expected)
{
    std::mt19937 random{20261204};
    for (int i = 0; i < scripts_per_rule; ++i) {
        const auto result = cluster{random_script(random), broken}.run();
        for (const auto& each : result.checked.violations) {
            if (each.broken == expected) {
                return true;
            }
        }
    }
    return false;
}

// Guards against an interleaving of owners, executors, duplicates, lost and delayed messages,
// fences and crashes in which a key runs twice, not-run is wrong, a response is another one's, a
// call is lost without a death, or a caller is never answered.
TEST(key_properties, hold_in_every_interleaving)
{
    EXPECT_TRUE(rc::check([] {
        const auto script = *rc::gen::resize(
            longest_script,
            rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>()));
        const auto result = cluster{script, injected_defect::none}.run();
        for (const auto& each : result.checked.violations) {
            RC_LOG() << history::to_string(each.broken) << ": " << each.detail << "\n";
        }
        RC_ASSERT(result.checked.holds());
        RC_ASSERT(result.drained);
        RC_ASSERT(result.unsettled == 0U);
    }));
}

// Guards against the same over many more interleavings than the generator makes, and against a
// simulation in which hardly anything runs.
TEST(key_properties, hold_in_many_random_interleavings)
{
    std::mt19937 random{20261204};
    std::map<std::string, std::size_t> totals;
    for (int i = 0; i < scripts_per_rule; ++i) {
        const auto result = cluster{random_script(random), injected_defect::none}.run();
        ASSERT_TRUE(result.checked.holds())
            << "script " << i << ": " << history::to_string(result.checked.violations[0].broken)
            << " " << result.checked.violations[0].detail;
        ASSERT_TRUE(result.drained) << "script " << i;
        ASSERT_EQ(result.unsettled, 0U) << "script " << i;
        totals["executions"] += result.executions;
        totals["completed"] += result.checked.completed;
        totals["not-run"] += result.checked.not_run;
        for (const auto& [reason, count] : result.checked.unknown_by_reason) {
            totals["unknown " + std::string{to_string(reason)}] += count;
        }
    }
    for (const auto& [name, count] : totals) {
        std::cout << name << " " << count << "\n";
    }
    for (const char* name : {"executions", "completed", "not-run", "unknown executor_gone"}) {
        EXPECT_GT(totals[name], 100U) << name;
    }
}

// Guards against checks that would not notice an owner that moves on after a lost reply.
TEST(key_properties, notice_a_missing_settlement)
{
    EXPECT_TRUE(is_noticed(injected_defect::lost_reply_is_refusal, history::rule::at_most_once));
}

// Guards against checks that would not notice an executor that forgets its fences.
TEST(key_properties, notice_a_missing_fence)
{
    EXPECT_TRUE(is_noticed(injected_defect::fence_is_not_kept, history::rule::not_run));
    EXPECT_TRUE(is_noticed(injected_defect::fence_is_not_kept, history::rule::at_most_once));
}

// Guards against checks that would not notice silence taken for a fence.
TEST(key_properties, notice_silence_taken_for_a_fence)
{
    EXPECT_TRUE(is_noticed(injected_defect::silence_is_fence, history::rule::not_run));
}

// Guards against checks that would not notice a failed forward reported as not-run.
TEST(key_properties, notice_a_failed_forward_taken_for_proof)
{
    EXPECT_TRUE(is_noticed(injected_defect::failed_forward_is_proof, history::rule::not_run));
}

} // namespace
} // namespace chestnutstand
