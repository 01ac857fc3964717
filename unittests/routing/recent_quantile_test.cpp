#include "chestnutstand/routing/recent_quantile.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against a hedge delay that is far from the 95th percentile, and against one that is based
// on outdated latencies.
TEST(recent_quantile, follows_recent_latencies)
{
    time_point now{milliseconds{1'000'000}};
    recent_quantile latencies;
    EXPECT_EQ(latencies.value(0.95, now), std::nullopt);
    for (int i = 1; i <= 1000; ++i) {
        latencies.record(milliseconds{i * 0.1}, now);
    }
    EXPECT_NEAR(latencies.value(0.95, now).value_or(milliseconds{0}).count(), 95.0, 15.0);
    now += milliseconds{6'000};
    for (int i = 0; i < 20'000; ++i) {
        latencies.record(milliseconds{5}, now);
    }
    EXPECT_LT(latencies.value(0.95, now).value_or(milliseconds{0}).count(), 7.0);
    EXPECT_EQ(latencies.value(0.95, now + milliseconds{20'000}), std::nullopt);
}

} // namespace
} // namespace chestnutstand
