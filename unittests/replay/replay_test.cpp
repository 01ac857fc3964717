#include "replay_model.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutstand::replay {
namespace {

constexpr std::uint64_t seeds = 3;
/// Largest share of the requests in target that an algorithm may cost without its load pattern.
constexpr double max_loss_when_calm = 0.01;

/// An algorithm of the product, the simpler one that it replaced, and the load pattern for which it
/// was introduced.
struct policy_comparison {
    const char* decision;
    const char* pattern;
    void (*replace)(policy_options&);
    void (*prepare)(replay_settings&);
};

std::ostream& operator<<(std::ostream& out, const policy_comparison& comparison)
{
    return out << comparison.decision << " under " << comparison.pattern;
}

double in_target(const policy_comparison& comparison, const policy_options& options,
                 const std::string& pattern)
{
    replay_settings settings = refund_desk();
    comparison.prepare(settings);
    const auto sum = total(settings, options, find_pattern(pattern), seeds);
    return static_cast<double>(sum.in_target) / static_cast<double>(sum.offered);
}

class replay_gain : public ::testing::TestWithParam<policy_comparison> {
protected:
    policy_options before() const
    {
        policy_options options;
        GetParam().replace(options);
        return options;
    }
};

// Guards against an algorithm that does not serve more callers in time under its load pattern than
// the simpler one.
TEST_P(replay_gain, serves_more_in_time_under_its_pattern)
{
    const auto& comparison = GetParam();
    EXPECT_GT(in_target(comparison, {}, comparison.pattern),
              in_target(comparison, before(), comparison.pattern));
}

// Guards against an algorithm that serves fewer callers in time under ordinary load than the
// simpler one.
TEST_P(replay_gain, costs_little_without_it)
{
    const auto& comparison = GetParam();
    EXPECT_GT(in_target(comparison, {}, "calm"),
              in_target(comparison, before(), "calm") - max_loss_when_calm);
}

constexpr auto default_settings = [](replay_settings&) {};
constexpr auto order_by_arrival = [](policy_options& options) { options.by_urgency = false; };
constexpr auto random_placement = [](policy_options& options) { options.balancing = "random"; };

INSTANTIATE_TEST_SUITE_P(
    decisions, replay_gain,
    ::testing::Values(
        policy_comparison{"order by urgency", "burst of one kind", order_by_arrival,
                          default_settings},
        policy_comparison{"order by urgency", "burst of the most urgent kind", order_by_arrival,
                          default_settings},
        policy_comparison{"pace of the upstream", "noise",
                          [](policy_options& options) { options.follow_pace = false; },
                          default_settings},
        policy_comparison{"adaptive limit", "slow upstream",
                          [](policy_options& options) { options.adaptive_limit = false; },
                          default_settings},
        policy_comparison{
            "free slots spared", "rejections with free slots",
            [](policy_options& options) { options.ignore_rejections_with_free_slots = false; },
            default_settings},
        policy_comparison{"return within the target", "burst of one kind",
                          [](policy_options& options) { options.retry_within_target = false; },
                          default_settings},
        policy_comparison{"abandoned requests removed", "burst of one kind",
                          [](policy_options& options) { options.cancel_abandoned = false; },
                          [](replay_settings& settings) { settings.leaving_share = 0.3; }},
        policy_comparison{"placement by load", "slow upstream", random_placement, default_settings},
        policy_comparison{"placement by load", "cold starts", random_placement, default_settings},
        policy_comparison{"placement by load", "silent nodes", random_placement, default_settings},
        policy_comparison{"placement by load", "machines lost", random_placement,
                          default_settings}),
    [](const auto& info) { return "gain_" + std::to_string(info.index); });

// Guards against a model whose results depend on anything other than its seed and settings.
TEST(replay_model, is_the_same_for_a_seed)
{
    const auto& load = find_pattern("noise");
    const auto first = total(refund_desk(), {}, load, 1);
    const auto second = total(refund_desk(), {}, load, 1);
    EXPECT_EQ(first.offered, second.offered);
    EXPECT_EQ(first.in_target, second.in_target);
    EXPECT_EQ(first.wasted_wait_ms, second.wasted_wait_ms);
}

// Guards against requests that the model does not count or counts twice.
TEST(replay_model, accounts_for_all_requests)
{
    for (const pattern& load : patterns()) {
        const auto sum = total(refund_desk(), {}, load, 1);
        EXPECT_EQ(sum.offered, sum.in_target + sum.late + sum.refused_at_once +
                                   sum.refused_after_waiting + sum.failed + sum.left)
            << load.name;
    }
}

} // namespace
} // namespace chestnutstand::replay
