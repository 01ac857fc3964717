#include "chestnutstand/admission/upstream_slowdown.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

time_point at(double ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

// Guards against avoiding an upstream that has not reported its slowdown.
TEST(upstream_slowdown, is_not_slow_without_reports)
{
    upstream_slowdown slowdown;
    EXPECT_FALSE(slowdown.slow(at(0)));
    EXPECT_FALSE(slowdown.needs_refresh(at(0)));
    EXPECT_EQ(slowdown.factor(at(0)), 1.0);
}

// Guards against avoiding all upstreams of a service that are cold after a restart, and against not
// detecting their slow phases.
TEST(upstream_slowdown, cold_upstream_is_slow_only_in_slow_phases)
{
    upstream_slowdown slowdown;
    slowdown.observe(2.0, at(0));
    EXPECT_FALSE(slowdown.slow(at(0)));
    slowdown.observe(8.0, at(10));
    EXPECT_EQ(slowdown.factor(at(10)), 4.0);
    EXPECT_TRUE(slowdown.slow(at(10)));
}

// Guards against starting long work on a report that was overtaken by a slow phase, and against
// probes for short work, which loses little.
TEST(upstream_slowdown, longer_work_needs_a_younger_report)
{
    upstream_slowdown slowdown;
    slowdown.observe(1.0, at(0));
    EXPECT_TRUE(slowdown.has_fresh_report(milliseconds{60}, at(45)));
    EXPECT_FALSE(slowdown.has_fresh_report(milliseconds{60}, at(55)));
    EXPECT_TRUE(slowdown.has_fresh_report(milliseconds{250}, at(12)));
    EXPECT_FALSE(slowdown.has_fresh_report(milliseconds{250}, at(13)));
    EXPECT_TRUE(slowdown.has_fresh_report(milliseconds{0}, at(45)));
    EXPECT_FALSE(slowdown.has_fresh_report(milliseconds{5}, at(55)));
}

// Guards against detecting the start or the end of a slow phase late.
TEST(upstream_slowdown, follows_the_last_report)
{
    upstream_slowdown slowdown;
    slowdown.observe(1.0, at(0));
    slowdown.observe(4.0, at(10));
    EXPECT_TRUE(slowdown.slow(at(11)));
    EXPECT_EQ(slowdown.factor(at(11)), 4.0);
    slowdown.observe(1.0, at(20));
    EXPECT_FALSE(slowdown.slow(at(20)));
}

// Guards against a slow upstream that gets no calls because its slowdown is never refreshed.
TEST(upstream_slowdown, slow_upstream_needs_a_refresh)
{
    upstream_slowdown slowdown;
    slowdown.observe(1.0, at(0));
    slowdown.observe(4.0, at(10));
    EXPECT_FALSE(slowdown.needs_refresh(at(30)));
    EXPECT_TRUE(slowdown.needs_refresh(at(100)));
    EXPECT_FALSE(slowdown.slow(at(2'000)));
}

// Guards against avoiding an upstream forever because its hardware is permanently slow.
TEST(upstream_slowdown, lasting_slowness_becomes_usual)
{
    upstream_slowdown slowdown;
    slowdown.observe(1.0, at(0));
    for (int ms = 10; ms <= 6'000; ms += 10) {
        slowdown.observe(4.0, at(ms));
    }
    EXPECT_FALSE(slowdown.slow(at(6'000)));
    slowdown.observe(1.0, at(6'010));
    slowdown.observe(4.0, at(6'020));
    EXPECT_TRUE(slowdown.slow(at(6'020)));
}

} // namespace
} // namespace chestnutstand
