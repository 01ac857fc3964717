#include "chestnutstand/support/reason.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against a reason added without a name, which would shift all later names.
TEST(reason_names, are_unique_and_complete)
{
    for (std::size_t i = 0; i < reason_count; ++i) {
        const auto value = static_cast<reason_code>(i);
        EXPECT_FALSE(to_string(value).empty());
        EXPECT_EQ(reason_names.find(to_string(value)), value);
    }
    EXPECT_EQ(to_string(reason_code::internal), "internal");
    EXPECT_EQ(reason_names.find("no such reason"), std::nullopt);
}

} // namespace
} // namespace chestnutstand
