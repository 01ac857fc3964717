#include "chestnutstand/config/document_parser.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace chestnutstand {
namespace {

constexpr const char* whole = R"({
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

std::string without(const std::string& part, const std::string& replacement)
{
    std::string text{whole};
    const auto at = text.find(part);
    return text.replace(at, part.size(), replacement);
}

std::string error_of(const std::string& text)
{
    return std::string{parse_record(text, "record").status().message()};
}

// Guards against keys of a newer author that make a document unreadable, and against lost values.
TEST(record, reads_routes_and_skips_unknown_keys)
{
    const auto read = parse_record(whole, "record");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->version, 7U);
    EXPECT_EQ(read->find_service("ledger")->max_connections, 220U);
    const route& first = read->routes.front();
    EXPECT_TRUE(first.idempotent);
    EXPECT_EQ(first.timeout, milliseconds{800});
    EXPECT_EQ(first.attempts, 2U);
    EXPECT_FALSE(read->routes[2].idempotent);
}

// Guards against damaged records that come into force.
TEST(record, refuses_damaged_records)
{
    EXPECT_NE(error_of(std::string{whole}.substr(0, 200)), "");
    EXPECT_NE(error_of(without("\"version\": 7,", "")), "");
    EXPECT_NE(error_of(without("\"timeout_ms\": 800", "\"timeout_ms\": -1")), "");
    EXPECT_EQ(error_of(without("\"service\": \"ledger\",\n         \"kind\"",
                               "\"service\": \"nowhere\",\n         \"kind\"")),
              "route view: expected a declared service, found nowhere");
    EXPECT_EQ(error_of(without("\"path_prefix\": \"/view/old/\"", "\"path_prefix\": \"/view/\"")),
              "route split: expected a host and path prefix that no other route has, found "
              "shop.example/view/");
    EXPECT_EQ(error_of(without("\"pay.example\", \"service\": \"ledger\"", "\"pay.example\"")),
              "route pay: expected either a service or a split with weight");
}

// Guards against a shorter prefix that wins, and against a prefix of another host.
TEST(record, finds_the_route_with_the_longest_prefix)
{
    const auto read = parse_record(whole, "record");
    ASSERT_TRUE(read.ok()) << read.status();
    const auto name_of = [&](const char* host, const char* target) {
        const route* found = read->find_route(host, target);
        return found == nullptr ? std::string{"none"} : found->name;
    };
    EXPECT_EQ(name_of("shop.example", "/view/1"), "view");
    EXPECT_EQ(name_of("SHOP.example:80", "/view/old/1?q=/x"), "split");
    EXPECT_EQ(name_of("shop.example", "/view"), "none");
    EXPECT_EQ(name_of("shop.example", "/other?/view/"), "none");
    EXPECT_EQ(name_of("pay.example", "/anything"), "pay");
    EXPECT_EQ(name_of("unknown.example", "/view/1"), "none");
}

// Guards against classes that are missing for a service which only a split leads to, and against
// one class for requests that take different times.
TEST(record, derives_one_class_per_rank_and_target)
{
    const auto read = parse_record(whole, "record");
    ASSERT_TRUE(read.ok()) << read.status();
    const auto& ledger = *read->find_service("ledger");
    ASSERT_EQ(ledger.priorities.size(), 3U);
    const auto* viewing = ledger.find_priority(class_name_of(read->routes[1]));
    ASSERT_NE(viewing, nullptr);
    EXPECT_EQ(viewing->latency_target, milliseconds{100});
    EXPECT_EQ(viewing->rank, 1U);
    ASSERT_EQ(read->find_service("archive")->priorities.size(), 1U);
}

// Guards against a split whose parts do not get their weights.
TEST(record, splits_by_weight)
{
    const auto read = parse_record(whole, "record");
    ASSERT_TRUE(read.ok()) << read.status();
    std::map<std::string, int> shares;
    for (int i = 0; i < 1000; ++i) {
        ++shares[read->routes[1].service_at(i / 1000.0)];
    }
    EXPECT_EQ(shares["ledger"], 900);
    EXPECT_EQ(shares["archive"], 100);
}

} // namespace
} // namespace chestnutstand
