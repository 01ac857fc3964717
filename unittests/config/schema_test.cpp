#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/config/key_description.h"
#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/str_cat.h"

#include <gtest/gtest.h>

#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

std::string row_of(const key_description& key)
{
    return str_cat("| `", key.path, "` | ", key.type, " | ", key.unit, key.unit.empty() ? "" : " ",
                   "| ", key.range, " | ", key.default_value, " | ");
}

/// Rows of the table below a heading of the settings page, without the header.
std::vector<std::string> documented_rows(const std::string& heading)
{
    const auto text = read_file(SETTINGS_PAGE);
    EXPECT_TRUE(text.ok()) << text.status();
    std::istringstream lines{text.value_or("")};
    std::vector<std::string> rows;
    bool is_in_section = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("## ", 0) == 0) {
            is_in_section = line == "## " + heading;
        }
        if (is_in_section && line.rfind("| `", 0) == 0) {
            rows.push_back(line);
        }
    }
    return rows;
}

void expect_documented(const std::vector<key_description>& keys, const std::string& heading)
{
    const auto rows = documented_rows(heading);
    ASSERT_EQ(rows.size(), keys.size());
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto expected = row_of(keys[i]);
        EXPECT_EQ(rows[i].substr(0, expected.size()), expected);
    }
}

// Guards against a settings page that differs from the schema in a key, a unit, a range or a
// default.
TEST(settings_page, equals_the_schema)
{
    expect_documented(describe_settings(), "Settings file");
    expect_documented(describe_section(), "Section of the document");
    expect_documented(describe_record(), "Document in one record");
}

std::string error_of(const std::string& content)
{
    return std::string{parse_section(content, "main").status().message()};
}

std::string service(const std::string& keys)
{
    return R"({"owner": "t", "services": [{"name": "s", "priorities": [{"name": "p"}])" + keys +
           "}]}";
}

// Guards against invalid sections that are accepted, and against errors that lack the location or
// the expected value.
TEST(section, refuses_invalid_values)
{
    EXPECT_EQ(error_of(service("")), "");
    EXPECT_EQ(error_of(service(R"(, "reserve": 1.5)")),
              "main: services[0].reserve: expected a number in 0..1, found 1.5");
    EXPECT_EQ(error_of(service(R"(, "reserve": "0.5")")),
              "main: services[0].reserve: expected a number in 0..1, found \"0.5\"");
    EXPECT_EQ(error_of(service(R"(, "queue_limit_per_priority": 2.5)")),
              "main: services[0].queue_limit_per_priority: expected an integer in 1..100000, found "
              "2.5");
    EXPECT_EQ(error_of(service(R"(, "balancing_policy": "best")")),
              "main: services[0].balancing_policy: expected one of two_choices, "
              "two_choices_stale, least_outstanding, round_robin, random, found \"best\"");
    EXPECT_EQ(error_of(service(R"(, "name": "s")")),
              "main: services[0].name: expected the key only once");
    EXPECT_EQ(error_of(R"({"owner": "t", "services": [
                  {"name": "s", "priorities": [{"name": "p"}, {"name": "p"}]}]})"),
              "main: services[0].priorities[1].name: expected a name that is not used twice, found "
              "\"p\"");
    EXPECT_EQ(error_of(R"({"owner": "t", "services": [], "more": 1})"),
              "main: more: unknown key, expected one of owner, services, routes");
    EXPECT_EQ(error_of("[]"), "main: expected an object, found []");
    EXPECT_EQ(error_of("{").rfind("main: expected JSON, parse error at line 1", 0), 0U);
}

// Guards against an empty document that comes into force before any section is published.
TEST(section, no_section_is_no_document)
{
    EXPECT_EQ(parse_document({}).status().code(), absl::StatusCode::kFailedPrecondition);
}

} // namespace
} // namespace chestnutstand
