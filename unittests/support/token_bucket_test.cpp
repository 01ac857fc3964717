#include "chestnutstand/support/token_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace chestnutstand {
namespace {

// Guards against a bucket that hands out more tokens than its rate allows, for any pattern of
// requests.
TEST(token_bucket, never_exceeds_rate_and_burst)
{
    EXPECT_TRUE(rc::check([] {
        const double rate = *rc::gen::inRange(1, 50);
        const double burst = *rc::gen::inRange(1, 5);
        const auto gaps_ms = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        time_point now{};
        token_bucket bucket{rate, burst, now};
        double taken = 0.0;
        for (const int gap : gaps_ms) {
            now += milliseconds{static_cast<double>(gap)};
            taken += bucket.try_take(now) ? 1.0 : 0.0;
            RC_ASSERT(taken <= now.time_since_epoch().count() * rate / 1000.0 + 1e-6);
        }
    }));
}

} // namespace
} // namespace chestnutstand
