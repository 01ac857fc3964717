#include "chestnutstand/support/log_limit.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

time_point at(double ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

// Guards against a frequent message that is logged without limit or uses up the limit of others.
TEST(log_limit, bounds_each_kind_by_itself)
{
    log_limit limit{10.0, 5.0};
    int admitted = 0;
    for (int i = 0; i < 1'000; ++i) {
        admitted += limit.admit("flood", at(0)) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 5);
    EXPECT_TRUE(limit.admit("rare", at(0)));
}

// Guards against suppressing lines without reporting their number.
TEST(log_limit, tells_how_many_lines_were_left_out)
{
    log_limit limit{10.0, 1.0};
    EXPECT_EQ(limit.admit("kind", at(0)), 0U);
    EXPECT_FALSE(limit.admit("kind", at(1)));
    EXPECT_FALSE(limit.admit("kind", at(2)));
    EXPECT_EQ(limit.admit("kind", at(200)), 2U);
    EXPECT_EQ(limit.admit("kind", at(400)), 0U);
}

} // namespace
} // namespace chestnutstand
