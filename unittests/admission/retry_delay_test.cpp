#include "chestnutstand/admission/retry_delay.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against refused callers that retry too late for their latency target, or all at once.
TEST(retry_delay, leaves_time_to_be_served_and_spreads_the_callers)
{
    const milliseconds target{800};
    EXPECT_EQ(retry_delay(target, 0.0), milliseconds{200});
    EXPECT_EQ(retry_delay(target, 0.5), milliseconds{300});
    EXPECT_LT(retry_delay(target, 0.999), target / 2.0);
}

} // namespace
} // namespace chestnutstand
