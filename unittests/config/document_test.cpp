#include "chestnutstand/config/document_parser.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr const char* valid_record = R"({
    "version": 7, "added_later": true,
    "services": [{"name": "ledger", "health_path": "/healthz", "max_connections": 220},
                 {"name": "archive"}],
    "routes": [
        {"name": "view", "host": "shop.example", "path_prefix": "/view/", "service": "ledger",
         "kind": "idempotent", "timeout_ms": 800, "latency_target_ms": 200, "rank": 1,
         "attempts": 2},
        {"name": "split", "host": "shop.example", "path_prefix": "/view/old/", "rank": 1,
         "latency_target_ms": 100, "split": [{"service": "ledger", "weight": 90},
                                             {"service": "archive", "weight": 10}]},
        {"name": "pay", "host": "pay.example", "service": "ledger", "rank": 0}]
})";

/// The valid record with one part replaced.
std::string with_replaced(const std::string& part, const std::string& replacement)
{
    std::string text{valid_record};
    const auto position = text.find(part);
    return text.replace(position, part.size(), replacement);
}

std::string error_of(const std::string& text)
{
    return std::string{parse_record(text, "record").status().message()};
}

// Guards against unknown keys that make a record invalid, and against values that are not read.
TEST(record, reads_routes_and_skips_unknown_keys)
{
    const auto parsed = parse_record(valid_record, "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->version, 7U);
    EXPECT_EQ(parsed->find_service("ledger")->max_connections, 220U);
    const route& first = parsed->routes.front();
    EXPECT_TRUE(first.idempotent());
    EXPECT_EQ(first.timeout, milliseconds{800});
    EXPECT_EQ(first.attempts, 2U);
    EXPECT_FALSE(parsed->routes[2].idempotent());
}

// Guards against following a text that is no record.
TEST(record, refuses_a_text_without_the_parts_of_a_record)
{
    EXPECT_NE(error_of(std::string{valid_record}.substr(0, 200)), "");
    EXPECT_NE(error_of("[]"), "");
    EXPECT_NE(error_of(R"({"version": 7, "services": {}, "routes": []})"), "");
    EXPECT_NE(error_of(R"({"version": 7, "services": []})"), "");
    EXPECT_NE(error_of(with_replaced("\"version\": 7,", "")), "");
    for (const char* version : {"-7", "0", "7.5", "\"7\"", "null", "1e30"}) {
        EXPECT_NE(error_of(with_replaced("\"version\": 7", std::string{"\"version\": "} + version)),
                  "")
            << version;
    }
}

struct damaged_route {
    std::string part;
    std::string replacement;
    /// Position of the route in the record.
    std::size_t index;
    std::string expected;
};

// Guards against a damaged route that keeps a whole version out of force, that is served as if it
// were sound, or whose requests fall to the route with the next shorter prefix.
TEST(record, refuses_only_the_requests_of_a_damaged_route)
{
    const std::vector<damaged_route> damaged{
        {"\"timeout_ms\": 800", "\"timeout_ms\": -1", 0,
         "record: routes[0].timeout_ms: expected a number in 1..600000, found -1"},
        {"\"timeout_ms\": 800", "\"timeout_ms\": \"800\"", 0,
         "record: routes[0].timeout_ms: expected a number in 1..600000, found \"800\""},
        {"\"idempotent\"", "7", 0,
         "record: routes[0].kind: expected one of non_idempotent, idempotent, download, upload, "
         "found 7"},
        {"\"service\": \"ledger\",\n         \"kind\"",
         "\"service\": \"nowhere\",\n         \"kind\"", 0,
         "route view: expected a declared service, found nowhere"},
        {"\"weight\": 90", "\"weight\": -90", 1,
         "record: routes[1].split[0].weight: expected a number in 0..1000000000000, found -90"},
        {"\"archive\", \"weight\"", "\"nowhere\", \"weight\"", 1,
         "route split: expected a declared service, found nowhere"},
        {"\"pay.example\", \"service\": \"ledger\"", "\"pay.example\"", 2,
         "route pay: expected either a service or a split with weight"},
    };
    for (const auto& [part, replacement, index, expected] : damaged) {
        const auto parsed = parse_record(with_replaced(part, replacement), "record");
        ASSERT_TRUE(parsed.ok()) << parsed.status();
        EXPECT_EQ(parsed->tolerated.left_out, std::vector<std::string>{expected});
        ASSERT_EQ(parsed->routes.size(), 3U) << replacement;
        for (std::size_t i = 0; i < parsed->routes.size(); ++i) {
            EXPECT_EQ(parsed->routes[i].usable, i != index) << replacement;
        }
        const route* matched =
            parsed->find_route(parsed->routes[index].host, parsed->routes[index].path_prefix);
        EXPECT_EQ(matched, &parsed->routes[index]) << replacement;
    }
}

// Guards against a service that is used although what the operator says of it cannot be read, such
// as a limit that would be taken for none.
TEST(record, refuses_the_requests_of_a_damaged_service)
{
    const std::string limit = "\"max_connections\": 220";
    const std::vector<std::pair<std::string, std::string>> replacements{
        {limit, "\"max_connections\": -1"},
        {limit, "\"max_connections\": \"many\""},
        {limit, "\"cold_per_s\": -1"},
        {"\"/healthz\"", "7"}};
    for (const auto& [part, damaged] : replacements) {
        const auto parsed = parse_record(with_replaced(part, damaged), "record");
        ASSERT_TRUE(parsed.ok()) << parsed.status();
        EXPECT_EQ(parsed->find_service("ledger"), nullptr);
        for (const route& declared : parsed->routes) {
            EXPECT_FALSE(declared.usable) << damaged;
        }
    }
}

// Guards against requests that match none or the last of two routes with one host and prefix.
TEST(record, first_of_two_equal_routes_is_in_force)
{
    const auto parsed = parse_record(
        with_replaced("\"path_prefix\": \"/view/old/\"", "\"path_prefix\": \"/view/\""), "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->find_route("shop.example", "/view/1")->name, "view");
}

// Guards against values that are replaced without a word.
TEST(record, states_the_values_that_it_adjusts)
{
    const auto parsed =
        parse_record(with_replaced("\"timeout_ms\": 800", "\"timeout_ms\": 900000"), "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->routes.front().timeout, milliseconds{600'000});
    EXPECT_TRUE(parsed->routes.front().usable);
    EXPECT_EQ(parsed->tolerated.adjusted,
              std::vector<std::string>{"record: routes[0].timeout_ms: expected a number in "
                                       "1..600000, found 900000, read as 600000"});
    EXPECT_TRUE(parsed->tolerated.left_out.empty());
}

// Guards against limits of the clients that vanish with one damaged value.
TEST(record, keeps_the_default_of_a_damaged_limit)
{
    const auto parsed = parse_record(
        R"({"version": 1, "services": [], "routes": [],
            "limits": {"max_body_bytes": "all", "max_header_bytes": 9000}})",
        "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->limits.max_body_bytes, caller_limits{}.max_body_bytes);
    EXPECT_EQ(parsed->limits.max_header_bytes, 9'000U);
    EXPECT_EQ(parsed->tolerated.left_out.size(), 1U);
}

// Guards against one value of the operator, beyond what nodes expect, that keeps a whole version
// out of force.
TEST(record, follows_values_beyond_the_expected_ranges)
{
    const std::vector<std::pair<std::string, std::string>> replacements{
        {"\"timeout_ms\": 800", "\"timeout_ms\": 900000"},
        {"\"timeout_ms\": 800", "\"timeout_ms\": 1e300"},
        {"\"timeout_ms\": 800", "\"timeout_ms\": 0"},
        {"\"latency_target_ms\": 200", "\"latency_target_ms\": 3600000"},
        {"\"rank\": 1,\n         \"attempts\": 2", "\"rank\": 4000000000, \"attempts\": 2"},
        {"\"attempts\": 2", "\"attempts\": 5000000000"},
        {"\"attempts\": 2", "\"attempts\": 0"},
        {"\"attempts\": 2", "\"attempts\": 2.5"},
        {"\"weight\": 90", "\"weight\": 90000000"},
        {"\"max_connections\": 220", "\"max_connections\": 5000000"},
        {"\"name\": \"view\"", "\"name\": \"" + std::string(65, 'v') + "\""},
        {"\"name\": \"view\"", "\"name\": \"Ansicht für Läden\""},
        {"\"version\": 7,", "\"version\": 9000000000000000000,"},
        {"\"path_prefix\": \"/view/\"", "\"path_prefix\": \"/" + std::string(2'000, 'v') + "/\""}};
    for (const auto& [part, replacement] : replacements) {
        EXPECT_EQ(error_of(with_replaced(part, replacement)), "") << replacement;
    }
}

// Guards against downloads that end the service of all routes, or run at most once.
TEST(record, reads_downloads_as_idempotent)
{
    const auto parsed = parse_record(with_replaced("\"idempotent\"", "\"download\""), "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->routes.front().kind, request_kind::download);
    EXPECT_TRUE(parsed->routes.front().idempotent());
    EXPECT_TRUE(parsed->tolerated.unknown_names.empty());
}

// Guards against one route of a newer author that ends the service of all routes, and against an
// unknown kind whose requests may run more than once.
TEST(record, reads_an_unknown_kind_as_non_idempotent)
{
    const auto parsed = parse_record(with_replaced("\"idempotent\"", "\"replay\""), "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->routes.size(), 3U);
    EXPECT_FALSE(parsed->routes.front().idempotent());
    ASSERT_EQ(parsed->tolerated.unknown_names.size(), 1U);
    EXPECT_EQ(parsed->tolerated.unknown_names.front(),
              "record: routes[0].kind: expected one of "
              "non_idempotent, idempotent, download, upload, found "
              "\"replay\", read as non_idempotent");
}

// Guards against a publisher who is not told of a misspelt kind.
TEST(section, refuses_an_unknown_kind)
{
    const auto parsed = parse_section(
        R"({"owner": "team", "services": [{"name": "ledger", "priorities": [{"name": "read"}]}],
            "routes": [{"name": "view", "host": "h", "service": "ledger", "kind": "replay"}]})",
        "section");
    EXPECT_EQ(parsed.status().message(), "section: routes[0].kind: expected one of non_idempotent, "
                                         "idempotent, download, upload, found "
                                         "\"replay\"");
}

// Guards against a shorter matching prefix, or one of another host, that is preferred.
TEST(record, finds_the_route_with_the_longest_prefix)
{
    const auto parsed = parse_record(valid_record, "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    const auto name_of = [&](const char* host, const char* target) {
        const route* found = parsed->find_route(host, target);
        return found == nullptr ? std::string{"none"} : found->name;
    };
    EXPECT_EQ(name_of("shop.example", "/view/1"), "view");
    EXPECT_EQ(name_of("SHOP.example:80", "/view/old/1?q=/x"), "split");
    EXPECT_EQ(name_of("shop.example", "/view"), "none");
    EXPECT_EQ(name_of("shop.example", "/other?/view/"), "none");
    EXPECT_EQ(name_of("pay.example", "/anything"), "pay");
    EXPECT_EQ(name_of("unknown.example", "/view/1"), "none");
}

// Guards against a missing class in a service to which only a split leads, and against one class
// for routes with different latency targets.
TEST(record, derives_one_class_per_rank_and_target)
{
    const auto parsed = parse_record(valid_record, "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    const auto& ledger = *parsed->find_service("ledger");
    ASSERT_EQ(ledger.priorities.size(), 3U);
    const auto* split_class = ledger.find_priority(class_name_of(parsed->routes[1]));
    ASSERT_NE(split_class, nullptr);
    EXPECT_EQ(split_class->latency_target, milliseconds{100});
    EXPECT_EQ(split_class->rank, 1U);
    ASSERT_EQ(parsed->find_service("archive")->priorities.size(), 1U);
}

constexpr const char* tenant_record = R"({
    "version": 1, "services": [{"name": "ledger"}, {"name": "archive"}],
    "routes": [{"name": "view", "host": "h", "path_prefix": "/view/", "service": "ledger", "rank": 4,
                "latency_target_ms": 200},
               {"name": "status", "host": "h", "path_prefix": "/status/", "service": "archive",
                "rank": 4, "latency_target_ms": 200, "anonymous": true}],
    "tenants": [{"name": "acme", "keys": ["acme-key"], "rank": 1}, {"name": "bolt", "rank": 1},
                {"name": "crane", "keys": ["crane-key"], "rank": 2}, {"name": "dune"}]
})";

// Guards against requests of tenants without a class of their rank, and against classes that no
// request can have.
TEST(record, derives_a_class_for_each_rank_of_a_tenant)
{
    const auto parsed = parse_record(tenant_record, "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    const auto& ledger = *parsed->find_service("ledger");
    ASSERT_EQ(ledger.priorities.size(), 3U);
    for (const std::uint32_t rank : {1U, 2U, 4U}) {
        const auto* found = ledger.find_priority(class_name_of(parsed->routes[0], rank));
        ASSERT_NE(found, nullptr) << rank;
        EXPECT_EQ(found->rank, rank);
        EXPECT_EQ(found->latency_target, milliseconds{200});
    }
    EXPECT_EQ(class_name_of(parsed->routes[0]), "rank-4/200");
    const auto& archive = *parsed->find_service("archive");
    ASSERT_EQ(archive.priorities.size(), 1U);
    EXPECT_EQ(archive.priorities.front().name, "rank-4/200");
}

/// Error of a record, or what its document says of the values that it does not take as written.
std::string messages_about(const std::string& text)
{
    const auto parsed = parse_record(text, "record");
    if (!parsed.ok()) {
        return std::string{parsed.status().message()};
    }
    std::string messages;
    for (const auto* values : {&parsed->tolerated.unknown_names, &parsed->tolerated.adjusted,
                               &parsed->tolerated.left_out}) {
        for (const std::string& value : *values) {
            messages += value + "\n";
        }
    }
    return messages;
}

// Guards against an API key in an error, which nodes log, when a record is malformed around it.
TEST(record, errors_do_not_show_keys)
{
    const std::string secret = "crane-key";
    const std::string listed = R"(["crane-key"])";
    const std::string text{tenant_record};
    const auto position = text.find(listed);
    ASSERT_NE(position, std::string::npos);
    for (const char* const malformed :
         {R"("crane-key")", R"({"a": "crane-key"})", R"(["crane-key" "b"])", R"(["crane-key)",
          R"([["crane-key"]])", R"(["crane-key"])", R"(["crane-key"], "keys": "crane-key")",
          R"(["crane-key"], "rank": ["crane-key"])", R"("crane-key)", R"(crane-key)",
          R"(["crane-key"]], "x": [)"}) {
        const std::string messages =
            messages_about(std::string{text}.replace(position, listed.size(), malformed));
        EXPECT_NE(messages, "") << malformed;
        EXPECT_EQ(messages.find(secret), std::string::npos) << messages;
    }
    for (const char* const malformed :
         {R"([{"keys": ["crane-key"]}])",
          R"({"version": 1, "services": [], "routes": [], "tenants": ["crane-key"]})",
          R"({"version": 1, "services": [], "routes": [], "tenants": {"keys": ["crane-key"]}})"}) {
        const std::string messages = messages_about(malformed);
        EXPECT_NE(messages, "") << malformed;
        EXPECT_EQ(messages.find(secret), std::string::npos) << messages;
    }
}

// Guards against a split that does not follow the weights of its targets.
TEST(record, splits_by_weight)
{
    const auto parsed = parse_record(valid_record, "record");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    std::map<std::string, int> shares;
    for (int i = 0; i < 1000; ++i) {
        ++shares[parsed->routes[1].service_at(i / 1000.0)];
    }
    EXPECT_EQ(shares["ledger"], 900);
    EXPECT_EQ(shares["archive"], 100);
}

} // namespace
} // namespace chestnutstand
