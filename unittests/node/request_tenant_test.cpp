#include "../../lib/transport/wire_convert.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/node/call_parser.h"
#include "chestnutstand/node/problem.h"
#include "chestnutstand/node/upstream_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chestnutstand {
namespace {

constexpr const char* tenant_record = R"({"version": 4, "services": [{"name": "ledger"}],
    "routes": [{"name": "view", "host": "shop.example", "path_prefix": "/view/",
                "service": "ledger", "kind": "idempotent"},
               {"name": "status", "host": "shop.example", "path_prefix": "/status/",
                "service": "ledger", "kind": "idempotent", "anonymous": true}],
    "tenants": [{"name": "acme", "keys": ["acme-old", "acme-new", "both"]},
                {"name": "bolt", "keys": ["bolt-key", "both"]}]})";

/// A record with the routes of tenant_record and the given list of tenants, or without a list if
/// the text is empty.
std::string record_with_tenants(const std::string& list)
{
    const std::string text{tenant_record};
    const std::string before = text.substr(0, text.rfind(",\n    \"tenants\""));
    return before + (list.empty() ? "" : ", \"tenants\": " + list) + "}";
}

document make_document(const char* record)
{
    const auto parsed = parse_record(record, "record");
    EXPECT_TRUE(parsed.ok()) << parsed.status();
    return *parsed;
}

class request_tenant_test : public testing::Test {
protected:
    request_tenant_test() { names_.tenant = "Tenant"; }

    std::variant<service_call, refusal> parse(const std::string& target,
                                              std::vector<http_header> headers) const
    {
        http_request request{"GET", target, std::move(headers), ""};
        request.headers.push_back({"Host", "shop.example"});
        return parse_routed_call(request, &document_, names_, 0.0, ms_clock::now());
    }

    service_call parsed(const std::string& target, std::vector<http_header> headers) const
    {
        auto result = parse(target, std::move(headers));
        EXPECT_TRUE(std::holds_alternative<service_call>(result));
        return std::get<service_call>(std::move(result));
    }

    reason_code refused(const std::string& target, std::vector<http_header> headers) const
    {
        const auto result = parse(target, std::move(headers));
        const auto* found = std::get_if<refusal>(&result);
        return found == nullptr ? reason_code::none : found->reason;
    }

    document document_ = make_document(tenant_record);
    header_names names_;
};

std::vector<std::string> values_of(const http_request& request, std::string_view name)
{
    std::vector<std::string> values;
    for (const http_header& field : request.headers) {
        if (header_name_equal(field.name, name)) {
            values.push_back(field.value);
        }
    }
    return values;
}

bool contains_key(const std::string& text)
{
    return text.find("acme-") != std::string::npos || text.find("bolt-key") != std::string::npos;
}

// Guards against a valid key that is refused because of how it is written.
TEST_F(request_tenant_test, valid_key_names_the_tenant)
{
    EXPECT_EQ(parsed("/view/1", {{"Authorization", "Bearer acme-old"}}).tenant, "acme");
    EXPECT_EQ(parsed("/view/1", {{"authorization", "bearer   acme-new "}}).tenant, "acme");
    EXPECT_EQ(parsed("/view/1", {{"AUTHORIZATION", "BEARER bolt-key"}}).tenant, "bolt");
}

// Guards against requests that run without a key, or with one that does not belong to exactly one
// tenant.
TEST_F(request_tenant_test, request_without_a_valid_key_is_refused)
{
    const std::vector<std::vector<http_header>> rejected{
        {},
        {{"Authorization", ""}},
        {{"Authorization", "Bearer"}},
        {{"Authorization", "Bearer "}},
        {{"Authorization", "acme-old"}},
        {{"Authorization", "Beareracme-old"}},
        {{"Authorization", "Basic acme-old"}},
        {{"Authorization", "Bearer acme-old,acme-new"}},
        {{"Authorization", "Bearer acme-old acme-new"}},
        {{"Authorization", "Bearer never-listed"}},
        {{"Authorization", "Bearer both"}},
        {{"Authorization", "Bearer acme-old"}, {"Authorization", "Bearer acme-old"}},
        {{"Authorization", "Bearer acme-old"}, {"authorization", "Basic x"}},
        {{"Proxy-Authorization", "Bearer acme-old"}},
        {{"Tenant", "acme"}}};
    for (const auto& headers : rejected) {
        EXPECT_EQ(refused("/view/1", headers), reason_code::unknown_api_key)
            << (headers.empty() ? "" : headers.front().value);
    }
    const auto response = make_problem(call_outcome::not_run, reason_code::unknown_api_key);
    EXPECT_EQ(response.status, 401);
    EXPECT_EQ(find_header(response.headers, "WWW-Authenticate"), "Bearer");
}

// Guards against a refusal of requests that need no key, and against status 401 of a node that has
// no document and so knows no key.
TEST_F(request_tenant_test, key_is_needed_only_where_the_document_says_so)
{
    EXPECT_EQ(refused("/status/1", {}), reason_code::none);
    EXPECT_EQ(refused("/status/1", {{"Authorization", "Bearer never-listed"}}), reason_code::none);
    EXPECT_EQ(parsed("/status/1", {{"Authorization", "Bearer acme-old"}}).tenant, "");
    EXPECT_EQ(refused("/none/1", {}), reason_code::unknown_route);
    const auto early = parse_routed_call({"GET", "/view/1", {{"Host", "shop.example"}}, ""},
                                         nullptr, names_, 0.0, ms_clock::now());
    EXPECT_EQ(std::get<refusal>(early).reason, reason_code::no_configuration);
}

// Guards against a change for deployments without tenants: their upstreams may check credentials
// themselves.
TEST_F(request_tenant_test, credentials_are_forwarded_where_the_document_has_no_list_of_tenants)
{
    document_ = make_document(record_with_tenants("").c_str());
    const auto call = parsed("/view/1", {{"Authorization", "Basic dXNlcg=="}, {"Tenant", "acme"}});
    EXPECT_EQ(call.tenant, "");
    const auto sent = make_upstream_request(call, names_, "");
    EXPECT_EQ(find_header(sent.headers, "Authorization"), "Basic dXNlcg==");
    EXPECT_TRUE(values_of(sent, "Tenant").empty());
}

// Guards against a document that removes its last tenant, or the last key of one, and by that turns
// the check of keys off.
TEST_F(request_tenant_test, empty_list_of_tenants_admits_no_key)
{
    for (const char* tenants : {"[]", R"([{"name": "acme"}])"}) {
        document_ = make_document(record_with_tenants(tenants).c_str());
        for (const char* key : {"acme-old", "never-listed", ""}) {
            EXPECT_EQ(refused("/view/1", {{"Authorization", std::string{"Bearer "} + key}}),
                      reason_code::unknown_api_key)
                << tenants << ' ' << key;
        }
        EXPECT_EQ(refused("/view/1", {}), reason_code::unknown_api_key);
        const auto call = parsed("/status/1", {{"Authorization", "Bearer acme-old"}});
        EXPECT_TRUE(values_of(make_upstream_request(call, names_, ""), "Authorization").empty());
    }
}

// Guards against a damaged entry that keeps the sound tenants out, or lets requests pass without a
// tenant.
TEST_F(request_tenant_test, damaged_tenant_is_refused_and_the_others_are_not)
{
    for (const char* damaged :
         {R"({"name": "", "keys": ["acme-old"]})", R"({"name": 7, "keys": ["acme-old"]})",
          R"({"keys": ["acme-old"]})", R"({"name": "acme", "keys": "acme-old"})",
          R"({"name": "acme", "keys": ["acme-old"], "rate_per_s": -1})",
          R"({"name": "acme", "keys": ["acme-old"], "rate_per_s": "ten"})",
          R"({"name": "acme", "keys": [["acme-old"]]})", R"("acme-old")",
          R"({"name": "acme\n", "keys": ["acme-old"]})"}) {
        document_ = make_document(
            record_with_tenants(std::string{R"([{"name": "bolt", "keys": ["bolt-key"]}, )"} +
                                damaged + "]")
                .c_str());
        EXPECT_EQ(refused("/view/1", {{"Authorization", "Bearer acme-old"}}),
                  reason_code::unknown_api_key)
            << damaged;
        EXPECT_EQ(parsed("/view/1", {{"Authorization", "Bearer bolt-key"}}).tenant, "bolt");
    }
    for (const char* damaged : {"null", "{}", R"("acme-old")", "7"}) {
        document_ = make_document(record_with_tenants(damaged).c_str());
        for (const auto& headers :
             std::vector<std::vector<http_header>>{{}, {{"Authorization", "Bearer acme-old"}}}) {
            EXPECT_EQ(refused("/view/1", headers), reason_code::unknown_api_key) << damaged;
        }
    }
}

// Guards against a second entry of a tenant whose limits replace those of the first.
TEST_F(request_tenant_test, only_the_first_entry_of_a_tenant_counts)
{
    document_ = make_document(
        record_with_tenants(R"([{"name": "acme", "keys": ["acme-old"], "rate_per_s": 1},
                                {"name": "acme", "keys": ["acme-new"]}])")
            .c_str());
    EXPECT_EQ(parsed("/view/1", {{"Authorization", "Bearer acme-old"}}).tenant, "acme");
    EXPECT_EQ(refused("/view/1", {{"Authorization", "Bearer acme-new"}}),
              reason_code::unknown_api_key);
}

// Guards against a request of a damaged route that is answered as if the route did not exist, or
// served by the route with the next shorter prefix.
TEST_F(request_tenant_test, damaged_route_is_refused_as_not_run)
{
    document_ = make_document(R"({"version": 4, "services": [{"name": "ledger"}], "routes": [
        {"name": "all", "host": "shop.example", "path_prefix": "/", "service": "ledger"},
        {"name": "view", "host": "shop.example", "path_prefix": "/view/", "service": 7}]})");
    EXPECT_EQ(refused("/view/1", {}), reason_code::no_configuration);
    EXPECT_EQ(refused("/other/1", {}), reason_code::none);
    EXPECT_EQ(make_problem(call_outcome::not_run, reason_code::no_configuration).status, 503);
}

// Guards against a key that leaves the entry node, in a message to another node or in a request to
// an upstream, and against a tenant that a caller names itself.
TEST_F(request_tenant_test, neither_key_nor_forged_tenant_leaves_the_entry_node)
{
    const std::vector<http_header> forged{{"Authorization", "Bearer acme-old"},
                                          {"Tenant", "bolt"},
                                          {"tenant", "crane"},
                                          {"Connection", "Tenant, X-Hop"}};
    for (const char* target : {"/view/1", "/status/1"}) {
        const service_call call = parsed(target, forged);
        const wire::Call message = to_wire(call);
        EXPECT_FALSE(contains_key(message.SerializeAsString())) << target;
        EXPECT_EQ(message.SerializeAsString().find("crane"), std::string::npos) << target;
        const service_call received = from_wire(message);
        for (const auto& sent_call : {call, received}) {
            const auto sent = make_upstream_request(sent_call, names_, "i-1");
            EXPECT_TRUE(values_of(sent, "Authorization").empty()) << target;
            const std::vector<std::string> expected = std::string{target} == "/view/1"
                                                          ? std::vector<std::string>{"acme"}
                                                          : std::vector<std::string>{};
            EXPECT_EQ(values_of(sent, "Tenant"), expected) << target;
        }
    }
}

// Guards against an upstream that gets a tenant from a header in the message of another node.
TEST_F(request_tenant_test, tenant_header_of_a_message_between_nodes_is_not_trusted)
{
    service_call received =
        from_wire(to_wire(parsed("/view/1", {{"Authorization", "Bearer bolt-key"}})));
    received.request.headers.push_back({"Tenant", "acme"});
    EXPECT_EQ(values_of(make_upstream_request(received, names_, ""), "Tenant"),
              std::vector<std::string>{"bolt"});
    received.tenant.clear();
    EXPECT_TRUE(values_of(make_upstream_request(received, names_, ""), "Tenant").empty());
}

} // namespace
} // namespace chestnutstand
