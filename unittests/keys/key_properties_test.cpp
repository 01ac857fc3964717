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

constexpr int max_script_size = 600;
constexpr int scripts_per_test = 2'000;

std::vector<std::uint8_t> random_script(std::mt19937& random)
{
    std::vector<std::uint8_t> script(max_script_size);
    for (auto& choice : script) {
        choice = static_cast<std::uint8_t>(random());
    }
    return script;
}

/// Returns true when the checker reports a violation of the rule for one of the scripts.
bool is_detected(injected_defect defect, history::rule rule)
{
    std::mt19937 random{20261204};
    for (int i = 0; i < scripts_per_test; ++i) {
        const auto result = cluster{random_script(random), defect}.run();
        for (const auto& violation : result.report.violations) {
            if (violation.broken == rule) {
                return true;
            }
        }
    }
    return false;
}

// Guards against an interleaving of owners, executors, duplicates, lost and delayed messages,
// fences and crashes in which a key runs twice, a call that ran is reported as not run, a call gets
// the response of another one, a result is lost although no process died, or a caller gets no
// result.
TEST(key_properties, hold_in_every_interleaving)
{
    EXPECT_TRUE(rc::check([] {
        const auto script = *rc::gen::resize(
            max_script_size,
            rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>()));
        const auto result = cluster{script, injected_defect::none}.run();
        for (const auto& violation : result.report.violations) {
            RC_LOG() << history::to_string(violation.broken) << ": " << violation.detail << "\n";
        }
        RC_ASSERT(result.report.holds());
        RC_ASSERT(result.drained);
        RC_ASSERT(result.unsettled == 0U);
    }));
}

// Guards against the same failures in many more interleavings than the generator produces, and
// against a simulation in which hardly any call runs.
TEST(key_properties, hold_in_many_random_interleavings)
{
    std::mt19937 random{20261204};
    std::map<std::string, std::size_t> totals;
    for (int i = 0; i < scripts_per_test; ++i) {
        const auto result = cluster{random_script(random), injected_defect::none}.run();
        ASSERT_TRUE(result.report.holds())
            << "script " << i << ": " << history::to_string(result.report.violations[0].broken)
            << " " << result.report.violations[0].detail;
        ASSERT_TRUE(result.drained) << "script " << i;
        ASSERT_EQ(result.unsettled, 0U) << "script " << i;
        totals["executions"] += result.executions;
        totals["completed"] += result.report.completed;
        totals["not-run"] += result.report.not_run;
        for (const auto& [reason, count] : result.report.unknown_by_reason) {
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

// Guards against checks that miss an owner that tries the next candidate after a lost reply.
TEST(key_properties, checks_detect_a_missing_settlement)
{
    EXPECT_TRUE(is_detected(injected_defect::lost_reply_is_refusal, history::rule::at_most_once));
}

// Guards against checks that miss an executor that does not keep its fences.
TEST(key_properties, checks_detect_a_fence_that_is_not_kept)
{
    EXPECT_TRUE(is_detected(injected_defect::fence_is_not_kept, history::rule::not_run));
    EXPECT_TRUE(is_detected(injected_defect::fence_is_not_kept, history::rule::at_most_once));
}

// Guards against checks that miss a candidate that counts as fenced because it does not reply.
TEST(key_properties, checks_detect_a_missing_reply_taken_for_a_fence)
{
    EXPECT_TRUE(is_detected(injected_defect::missing_reply_is_fence, history::rule::not_run));
}

// Guards against checks that miss a call that is reported as not run after a failed forward.
TEST(key_properties, checks_detect_a_failed_forward_taken_for_proof)
{
    EXPECT_TRUE(is_detected(injected_defect::failed_forward_is_proof, history::rule::not_run));
}

} // namespace
} // namespace chestnutstand
