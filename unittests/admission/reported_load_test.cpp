#include "chestnutstand/admission/reported_load.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against fields that are assigned in the wrong order.
TEST(reported_load, parses_its_four_fields)
{
    const auto load = parse_reported_load("3,1,8,250");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    EXPECT_DOUBLE_EQ(load->pace, 2.5);
    EXPECT_FALSE(load->has_free_slot());
    EXPECT_TRUE(parse_reported_load("7,0,8,100")->has_free_slot());
    EXPECT_FALSE(parse_reported_load("8,0,8,100")->has_free_slot());
}

// Guards against parsing a malformed header as a load.
TEST(reported_load, rejects_malformed_text)
{
    for (const char* text : {"", "3,0,8", "3,0,8,", "3,0,8,100,1", "3,0,8,0", "3,0,8,-1",
                             "-3,0,8,100", "a,0,8,100", "3;0;8;100", "3,0,8,100 "}) {
        EXPECT_FALSE(parse_reported_load(text)) << text;
    }
}

} // namespace
} // namespace chestnutstand
