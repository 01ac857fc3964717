#include "replay_model.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutstand::replay {
namespace {

constexpr std::uint64_t seeds = 3;
/// Share of the requests that a decision may cost where its pattern is absent.
constexpr double price_when_calm = 0.01;

/// One decision against the simpler one before it, under the pattern that it answers.
struct gain {
    const char* decision;
    const char* pattern;
    void (*replace)(policies&);
    void (*prepare)(replay_settings&);
};

std::ostream& operator<<(std::ostream& out, const gain& shown)
{
    return out << shown.decision << " under " << shown.pattern;
}

double in_target(const gain& compared, const policies& chosen, const std::string& pattern)
{
    replay_settings described = refund_desk();
    compared.prepare(described);
    const auto sum = total(described, chosen, find_pattern(pattern), seeds);
    return static_cast<double>(sum.in_target) / static_cast<double>(sum.offered);
}

class replay_gain : public ::testing::TestWithParam<gain> {
protected:
    policies before() const
    {
        policies chosen;
        GetParam().replace(chosen);
        return chosen;
    }
};

// Guards against a decision that no longer serves more callers in time under its load pattern.
TEST_P(replay_gain, serves_more_in_time_under_its_pattern)
{
    const auto& compared = GetParam();
    EXPECT_GT(in_target(compared, {}, compared.pattern),
              in_target(compared, before(), compared.pattern));
}

// Guards against a decision that pays for its pattern with ordinary load.
TEST_P(replay_gain, costs_little_without_it)
{
    const auto& compared = GetParam();
    EXPECT_GT(in_target(compared, {}, "calm"),
              in_target(compared, before(), "calm") - price_when_calm);
}

constexpr auto ordinary_world = [](replay_settings&) {};
constexpr auto by_arrival = [](policies& chosen) { chosen.by_urgency = false; };
constexpr auto random_placement = [](policies& chosen) { chosen.balancing = "random"; };

INSTANTIATE_TEST_SUITE_P(
    decisions, replay_gain,
    ::testing::Values(
        gain{"order by urgency", "burst of one kind", by_arrival, ordinary_world},
        gain{"order by urgency", "burst of the most urgent kind", by_arrival, ordinary_world},
        gain{"pace of the upstream", "noise", [](policies& chosen) { chosen.follow_pace = false; },
             ordinary_world},
        gain{"adaptive limit", "slow upstream",
             [](policies& chosen) { chosen.adaptive_limit = false; }, ordinary_world},
        gain{"free slots spared", "rejections with free slots",
             [](policies& chosen) { chosen.ignore_rejections_with_free_slots = false; },
             ordinary_world},
        gain{"return within the target", "burst of one kind",
             [](policies& chosen) { chosen.retry_within_target = false; }, ordinary_world},
        gain{"abandoned requests removed", "burst of one kind",
             [](policies& chosen) { chosen.cancel_abandoned = false; },
             [](replay_settings& described) { described.leaving_share = 0.3; }},
        gain{"placement by load", "slow upstream", random_placement, ordinary_world},
        gain{"placement by load", "cold starts", random_placement, ordinary_world},
        gain{"placement by load", "silent nodes", random_placement, ordinary_world},
        gain{"placement by load", "machines lost", random_placement, ordinary_world}),
    [](const auto& info) { return "gain_" + std::to_string(info.index); });

// Guards against a model whose results depend on anything but its seed.
TEST(replay_model, is_the_same_for_a_seed)
{
    const auto& load = find_pattern("noise");
    const auto first = total(refund_desk(), {}, load, 1);
    const auto second = total(refund_desk(), {}, load, 1);
    EXPECT_EQ(first.offered, second.offered);
    EXPECT_EQ(first.in_target, second.in_target);
    EXPECT_EQ(first.wasted_wait_ms, second.wasted_wait_ms);
}

// Guards against requests that the model loses or counts twice.
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
