#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/config/document_review.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chestnutstand {
namespace {

/// Parses a record; one without a list of tenants if their text is empty.
document record(const std::string& version, const std::string& services, const std::string& routes,
                const std::string& tenants)
{
    const std::string list = tenants.empty() ? "" : R"(, "tenants": [)" + tenants + "]";
    const auto parsed = parse_record(R"({"version": )" + version + R"(, "services": [)" + services +
                                         R"(], "routes": [)" + routes + "]" + list + "}",
                                     "record");
    EXPECT_TRUE(parsed.ok()) << parsed.status();
    return parsed.ok() ? *parsed : document{};
}

const std::string service = R"({"name": "ledger"})";
const std::string view =
    R"({"name": "view", "host": "shop.example", "path_prefix": "/v/", "service": "ledger"})";

std::vector<std::string> texts(const std::vector<document_finding>& findings)
{
    std::vector<std::string> result;
    result.reserve(findings.size());
    for (const auto& found : findings) {
        result.push_back(std::string{finding_kind_names.name(found.kind)} + ": " + found.entry +
                         ": " + found.text);
    }
    return result;
}

struct reviewed_record {
    std::string services;
    std::string routes;
    std::string tenants;
    std::vector<std::string> expected;
};

// Guards against an entry without effect, or limits that defeat each other, that nobody notices
// before the document is sent, and against findings in a sound document.
TEST(document_review, finds_entries_without_effect_and_contradictions)
{
    const std::string route_name = "route view (shop.example/v/)";
    const std::vector<reviewed_record> records{
        {service, view, "", {}},
        {service, view, R"({"name": "t", "keys": ["k1", "k2"], "rate_per_s": 1, "burst": 1})", {}},
        {service,
         view + R"(, {"name": "again", "host": "Shop.Example:80", "path_prefix": "/v/",
                       "service": "ledger"})",
         "",
         {"never_matches: route again (Shop.Example:80/v/): is behind " + route_name +
          ", which has the same host and prefix"}},
        {service + R"(, {"name": "lost"})",
         view,
         "",
         {"never_matches: service lost: no route leads to it"}},
        {service + R"(, {"name": "lost"})",
         R"({"name": "view", "host": "shop.example", "path_prefix": "/v/", "split": [
             {"service": "ledger"}, {"service": "lost", "weight": 0}]})",
         "",
         {"never_matches: " + route_name + ": service lost of the split has weight 0",
          "never_matches: service lost: no route leads to it"}},
        {service,
         R"({"name": "view", "host": "shop.example", "path_prefix": "/v/", "service": "ledger",
             "timeout_ms": 500, "latency_target_ms": 800})",
         "",
         {"contradiction: " + route_name + ": timeout_ms 500 is below latency_target_ms 800"}},
        {R"({"name": "ledger", "cold_per_s": 5})",
         view,
         "",
         {"contradiction: service ledger: cold_per_s is set, but there is no health_path at which "
          "an upstream could say that it is cold"}},
        {service, view, R"({"name": "t"})", {"never_matches: tenant t: has no keys"}},
        {service,
         view,
         " ",
         {"never_matches: " + route_name + ": needs an API key, but the list of tenants is empty"}},
        {service,
         R"({"name": "view", "host": "shop.example", "service": "ledger", "anonymous": true})",
         R"({"name": "t", "keys": ["k"]})",
         {"never_matches: tenant t: all routes are anonymous"}},
        {service,
         view,
         R"({"name": "t", "keys": ["k"], "rate_per_s": 0.2, "burst": 1})",
         {"contradiction: tenant t: its quota of 2 requests in 5 s is below one for each of 3 "
          "node(s)"}},
        {service,
         view,
         R"({"name": "t", "keys": ["k"], "burst": 3})",
         {"contradiction: tenant t: burst has no effect without rate_per_s"}},
        {service,
         view,
         R"({"name": "t", "keys": ["secret", "secret"]}, {"name": "u", "keys": ["k", "secret"]})",
         {"contradiction: tenant t: keys[1] repeats keys[0]",
          "contradiction: tenant u: keys[1] is also keys[0] of tenant t; a key of two tenants "
          "belongs to neither"}},
    };
    for (const auto& each : records) {
        const auto reviewed = record("1", each.services, each.routes, each.tenants);
        EXPECT_EQ(texts(review_document(reviewed, 3)), each.expected);
    }
}

// Guards against a record that nodes ignore because of its version.
TEST(document_review, version_must_grow)
{
    const auto in_force = record("7", service, view, "");
    EXPECT_EQ(review_succession(record("8", service, view, ""), in_force).size(), 0U);
    EXPECT_EQ(review_succession(record("7", service, view, ""), in_force).size(), 1U);
    EXPECT_EQ(review_succession(record("6", service, view, ""), in_force).size(), 1U);
}

// Guards against changes that the operator does not see, and against keys in the report.
TEST(document_review, names_every_change)
{
    const auto before = record(
        "1", service + R"(, {"name": "old"})", view,
        R"({"name": "t", "keys": ["secret-1"], "rate_per_s": 5}, {"name": "gone", "keys": ["secret-2"]})");
    const auto after = record(
        "2", R"({"name": "ledger", "health_path": "/h", "cold_per_s": 0.5}, {"name": "new"})",
        R"({"name": "view", "host": "shop.example", "path_prefix": "/v/", "kind": "upload",
            "rank": 2, "split": [{"service": "ledger", "weight": 2}, {"service": "new"}]})",
        R"({"name": "t", "keys": ["secret-3", "secret-4"], "rate_per_s": 7, "rank": 1})");
    std::vector<std::string> changes;
    for (const auto& changed : compare_documents(after, before)) {
        changes.push_back(changed.entry + ": " + changed.text);
    }
    const std::vector<std::string> expected{
        "document: version 1 -> 2",
        "service ledger: health_path none -> /h",
        "service ledger: cold_per_s 0 -> 0.5",
        "service new: added",
        "service old: removed",
        "route view (shop.example/v/): service ledger -> none",
        "route view (shop.example/v/): split none -> ledger:2 new:1",
        "route view (shop.example/v/): kind non_idempotent -> upload",
        "route view (shop.example/v/): rank 0 -> 2",
        "tenant t: rank none -> 1",
        "tenant t: rate_per_s 5 -> 7",
        "tenant t: keys: 2 added, 1 removed",
        "tenant gone: removed",
    };
    EXPECT_EQ(changes, expected);
    EXPECT_TRUE(compare_documents(after, after).empty());
}

// Guards against an API key in the error of a record that cannot be read.
TEST(document_review, errors_of_a_record_show_no_key)
{
    const std::string start = R"({"version": 1, "services": [], "routes": [], )";
    for (const std::string& tenants : std::vector<std::string>{
             R"("tenants": [{"name": "t", "keys": ["secret)",
             R"("tenants": [{"name": "t", "keys": ["secret" "secret"]}]})",
         }) {
        const auto parsed = parse_record(start + tenants, "record");
        ASSERT_FALSE(parsed.ok()) << tenants;
        EXPECT_EQ(parsed.status().message().find("secret"), absl::string_view::npos)
            << parsed.status();
    }
    for (const std::string& tenants : std::vector<std::string>{
             R"("tenants": [{"name": "t", "keys": "secret"}]})",
             R"("tenants": [{"name": "t", "keys": [["secret key"]]}]})",
             R"("tenants": {"name": "t", "keys": ["secret"]}})",
             R"("tenants": ["secret"]})",
         }) {
        const auto parsed = parse_record(start + tenants, "record");
        ASSERT_TRUE(parsed.ok()) << parsed.status();
        ASSERT_EQ(parsed->tolerated.left_out.size(), 1U) << tenants;
        EXPECT_EQ(parsed->tolerated.left_out.front().find("secret"), std::string::npos)
            << parsed->tolerated.left_out.front();
    }
    const auto root = parse_record(R"([{"keys": ["secret"]}])", "record");
    ASSERT_FALSE(root.ok());
    EXPECT_EQ(root.status().message().find("secret"), absl::string_view::npos) << root.status();
}

} // namespace
} // namespace chestnutstand
