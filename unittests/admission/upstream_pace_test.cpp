#include "chestnutstand/admission/upstream_pace.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

time_point at(double ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

// Guards against calls that are kept away from an upstream whose pace nobody knows.
TEST(upstream_slowdown, unknown_pace_is_usual)
{
    upstream_slowdown pace;
    EXPECT_FALSE(pace.slow(at(0)));
    EXPECT_FALSE(pace.needs_refresh(at(0)));
    EXPECT_EQ(pace.factor(at(0)), 1.0);
}

// Guards against a slow phase that is noticed late or outlives its end.
TEST(upstream_slowdown, follows_the_last_report)
{
    upstream_slowdown pace;
    pace.observe(1.0, at(0));
    pace.observe(4.0, at(10));
    EXPECT_TRUE(pace.slow(at(11)));
    EXPECT_EQ(pace.factor(at(11)), 4.0);
    pace.observe(1.0, at(20));
    EXPECT_FALSE(pace.slow(at(20)));
}

// Guards against a slow upstream that gets no work because nobody asks it again.
TEST(upstream_slowdown, slow_upstream_is_asked_again)
{
    upstream_slowdown pace;
    pace.observe(1.0, at(0));
    pace.observe(4.0, at(10));
    EXPECT_FALSE(pace.needs_refresh(at(30)));
    EXPECT_TRUE(pace.needs_refresh(at(100)));
    EXPECT_FALSE(pace.slow(at(2'000)));
}

// Guards against an upstream on lasting slow hardware that is avoided for ever.
TEST(upstream_slowdown, lasting_slowness_becomes_usual)
{
    upstream_slowdown pace;
    pace.observe(1.0, at(0));
    for (int ms = 10; ms <= 6'000; ms += 10) {
        pace.observe(4.0, at(ms));
    }
    EXPECT_FALSE(pace.slow(at(6'000)));
    pace.observe(1.0, at(6'010));
    pace.observe(4.0, at(6'020));
    EXPECT_TRUE(pace.slow(at(6'020)));
}

} // namespace
} // namespace chestnutstand
