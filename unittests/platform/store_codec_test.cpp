#include "store_codec.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace chestnutstand::platform {
namespace {

std::string encode_offset(std::uint64_t value)
{
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
    return out;
}

// Guards against splitting records at wrong positions.
TEST(store_codec, reads_what_it_writes)
{
    const std::string body = encode_offset(9) + encode_offset(2) + encode_record("config", "{}") +
                             encode_record("", "") + encode_record("a", std::string(300, 'x'));
    const auto page = decode_records(body, 6);
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_EQ(page->next, 9U);
    ASSERT_EQ(page->records.size(), 3U);
    EXPECT_EQ(page->records[0].key, "config");
    EXPECT_EQ(page->records[0].value, "{}");
    EXPECT_EQ(page->records[2].offset, 8U);
    EXPECT_EQ(page->records[2].value.size(), 300U);
}

// Guards against a forged record that makes the records after it unreadable.
TEST(store_codec, skips_a_record_whose_key_does_not_fit)
{
    const std::string forged{"\0\0\0\2\xffx", 6};
    const auto page =
        decode_records(encode_offset(2) + encode_offset(0) + forged + encode_record("k", "v"), 0);
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_EQ(page->next, 2U);
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].key, "k");
    EXPECT_EQ(page->records[0].offset, 1U);
}

// Guards against accepting a truncated response as a complete one.
TEST(store_codec, refuses_a_part_of_a_record)
{
    const std::string body = encode_offset(1) + encode_offset(0) + encode_record("key", "value");
    for (std::size_t size = 0; size < body.size(); ++size) {
        const auto page = decode_records(body.substr(0, size), 0);
        EXPECT_TRUE(!page.ok() || page->records.empty()) << size;
    }
}

RC_GTEST_PROP(store_codec, decodes_any_bytes_without_reading_past_them, (const std::string& bytes))
{
    const auto page = decode_records(bytes, 0);
    RC_ASSERT(bytes.size() >= 16 || !page.ok());
}

// Guards against losing all records because of one malformed item.
TEST(store_codec, reads_the_newest_records_and_skips_damaged_items)
{
    const std::string body = R"({"items": [
        {"Key": "config", "Value": ")" +
                             absl::Base64Escape("{\"version\":1}") +
                             R"(", "Offset": 4},
        {"Key": 5, "Value": ""}, {"Key": "x", "Value": "*"}, null],
        "HasMore": true, "EndOffset": 6})";
    const auto page = decode_newest(body);
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_TRUE(page->has_more);
    EXPECT_EQ(page->page.next, 6U);
    ASSERT_EQ(page->page.records.size(), 1U);
    EXPECT_EQ(page->page.records[0].value, "{\"version\":1}");
    EXPECT_FALSE(decode_newest("[]").ok());
    EXPECT_FALSE(decode_newest("").ok());
}

} // namespace
} // namespace chestnutstand::platform
