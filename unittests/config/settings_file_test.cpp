#include "chestnutstand/config/settings_file.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutstand {
namespace {

constexpr const char* minimal = R"({
    // a comment
    "data_centre": "garia",
    "log_url": "http://127.0.0.1:9000",
    "cluster_secret": "0123456789abcdef"
})";

std::string error_of(const std::string& text)
{
    return std::string{parse_settings(text, "node.json").status().message()};
}

/// The minimal settings with more keys.
std::string with(const std::string& more)
{
    const std::string text{minimal};
    return text.substr(0, text.rfind('}')) + "," + more + "}";
}

// Guards against comments that are refused and defaults that are not set.
TEST(settings_file, reads_values_and_defaults)
{
    const auto parsed = parse_settings(with(R"("admin_port": 8001, "log_level": "warning",
        "seeds": [{"address": "10.0.0.1", "gossip_port": 7000}])"),
                                       "node.json");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->data_centre, "garia");
    EXPECT_EQ(parsed->admin_port, 8001);
    EXPECT_EQ(parsed->lowest_log_level, log_level::warning);
    ASSERT_EQ(parsed->seeds.size(), 1U);
    EXPECT_EQ(parsed->seeds[0].gossip_port, 7000);
    EXPECT_EQ(parsed->address, "127.0.0.1");
    EXPECT_EQ(parsed->advertised_address, "127.0.0.1");
    EXPECT_EQ(parsed->drain_limit_ms, 30'000);
}

// Guards against errors that lack the file, the key or the expected value.
TEST(settings_file, errors_name_file_key_and_expected_value)
{
    EXPECT_EQ(error_of(with(R"("admin_port": 70000)")),
              "node.json: admin_port: expected an integer in 0..65535, found 70000");
    EXPECT_EQ(error_of(with(R"("seeds": [{"address": "a", "gossip_port": 1}])")),
              "node.json: seeds[0].address: expected an IP address, found \"a\"");
    EXPECT_EQ(error_of(with(R"("seeds": [{"address": "1.2.3.4", "address": "1.2.3.4"}])")),
              "node.json: seeds[0].address: expected the key only once");
    EXPECT_EQ(error_of("{}"), "node.json: data_centre: required key is missing, expected 1 to 64 "
                              "letters, digits, '.', '_' or '-'");
}

} // namespace
} // namespace chestnutstand
