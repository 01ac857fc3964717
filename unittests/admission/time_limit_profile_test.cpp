#include "chestnutstand/admission/time_limit_profile.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

double spent(time_limit_profile& profile, double limit_ms)
{
    return profile.time_spent(milliseconds{limit_ms}).count();
}

void record(time_limit_profile& profile, double limit_ms, int count)
{
    for (int i = 0; i < count; ++i) {
        spent(profile, limit_ms);
    }
}

// Guards against callers that came back and are taken for new ones.
TEST(time_limit_profile, tells_what_is_left_of_a_frequent_limit)
{
    time_limit_profile profile;
    record(profile, 1'500, 50);
    EXPECT_EQ(spent(profile, 1'500), 0.0);
    EXPECT_EQ(spent(profile, 1'250), 250.0);
    EXPECT_EQ(spent(profile, 900), 600.0);
}

// Guards against callers with a short time limit of their own that are taken for ones that have
// waited for long.
TEST(time_limit_profile, knows_several_limits)
{
    time_limit_profile profile;
    for (int i = 0; i < 50; ++i) {
        spent(profile, 5'000);
        spent(profile, 1'000);
    }
    EXPECT_EQ(spent(profile, 1'000), 0.0);
    EXPECT_EQ(spent(profile, 800), 200.0);
    EXPECT_EQ(spent(profile, 4'000), 1'000.0);
}

// Guards against a time that is made up when no limit is frequent, or when the frequent ones are
// shorter.
TEST(time_limit_profile, takes_other_callers_for_new)
{
    time_limit_profile profile;
    for (int limit = 100; limit < 300; ++limit) {
        EXPECT_EQ(spent(profile, limit), 0.0);
    }
    record(profile, 1'000, 50);
    EXPECT_EQ(spent(profile, 7'000), 0.0);
}

// Guards against a limit that callers stopped using long ago.
TEST(time_limit_profile, forgets_limits_that_are_not_used_any_more)
{
    time_limit_profile profile;
    record(profile, 5'000, 100);
    record(profile, 1'000, 3'000);
    EXPECT_EQ(spent(profile, 900), 100.0);
    EXPECT_EQ(spent(profile, 4'000), 0.0);
}

} // namespace
} // namespace chestnutstand
