#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/tenancy/tenant_directory.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

using nlohmann::json;

const json sound = json::parse(R"({
    "version": 7,
    "services": [{"name": "ledger", "health_path": "/healthz", "max_connections": 220},
                 {"name": "archive", "cold_start_s": 3, "cold_per_s": 5}],
    "routes": [
        {"name": "all", "host": "shop.example", "path_prefix": "/", "service": "archive"},
        {"name": "view", "host": "shop.example", "path_prefix": "/view/", "service": "ledger",
         "kind": "idempotent", "timeout_ms": 800, "latency_target_ms": 200, "rank": 1,
         "attempts": 2, "anonymous": false},
        {"name": "old", "host": "shop.example", "path_prefix": "/view/old/",
         "split": [{"service": "ledger", "weight": 90}, {"service": "archive", "weight": 10}]}],
    "tenants": [{"name": "acme", "keys": ["acme-old", "acme-new"], "rank": 2, "rate_per_s": 10},
                {"name": "bolt", "keys": ["bolt-key"], "burst": 4}],
    "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 5000,
               "idle_timeout_ms": 60000}})");

/// Pointers to the values of the record in which damage must not keep the rest out of force.
std::vector<json::json_pointer> damageable()
{
    std::vector<json::json_pointer> pointers;
    const json leaves = sound.flatten();
    for (const auto& [path, value] : leaves.items()) {
        json::json_pointer pointer{path};
        // The record itself, its version and its lists of services and routes are left alone.
        while (!pointer.empty() && pointer != "/version"_json_pointer &&
               pointer != "/services"_json_pointer && pointer != "/routes"_json_pointer) {
            pointers.push_back(pointer);
            pointer = pointer.parent_pointer();
        }
    }
    return pointers;
}

const std::vector<json> damaged_values{nullptr,
                                       true,
                                       -1,
                                       0,
                                       0.5,
                                       5'000'000'000,
                                       1e300,
                                       -1e300,
                                       json(UINT64_MAX),
                                       "",
                                       "other",
                                       "ledger",
                                       "\n",
                                       std::string(70, 'n'),
                                       std::string(5'000, 'n'),
                                       json::array(),
                                       json::object(),
                                       json::array({json::array()}),
                                       json::array({1}),
                                       json::array({"acme-old"})};

bool touches(const json::json_pointer& damaged, const std::string& path)
{
    const std::string text = damaged.to_string();
    return text == path || text.rfind(path + "/", 0) == 0 || path.rfind(text + "/", 0) == 0;
}

std::optional<std::string> tenant_of(const document& parsed, const std::string& key)
{
    const auto owner = parsed.directory->find(key);
    return owner ? std::optional{parsed.tenants.at(owner->tenant).name} : std::nullopt;
}

// Guards against one damaged value that keeps a version out of force, that turns the check of keys
// off or hands a key to another tenant, or that leads the requests of a sound route elsewhere.
RC_GTEST_PROP(damaged_record, has_no_effect_beyond_its_entry, ())
{
    const auto damaged = *rc::gen::elementOf(damageable());
    const json value = *rc::gen::elementOf(damaged_values);
    json text = sound;
    text[damaged] = value;
    const auto parsed = parse_record(text.dump(), "record");
    RC_ASSERT(parsed.ok());
    RC_ASSERT(parsed->version == 7U);
    RC_ASSERT(parsed->requires_keys());
    for (std::size_t tenant = 0; tenant < sound["tenants"].size(); ++tenant) {
        const std::string path = "/tenants/" + std::to_string(tenant);
        for (const json& key : sound["tenants"][tenant]["keys"]) {
            const auto owner = tenant_of(*parsed, key);
            const auto expected = sound["tenants"][tenant]["name"].get<std::string>();
            RC_ASSERT(touches(damaged, "/tenants") || owner == expected);
            RC_ASSERT(touches(damaged, path) || !owner || owner == expected);
        }
    }
    for (std::size_t i = 0; i < sound["routes"].size(); ++i) {
        const json& declared = sound["routes"][i];
        const std::string path = "/routes/" + std::to_string(i);
        if (damaged.to_string() == path || touches(damaged, path + "/host") ||
            touches(damaged, path + "/path_prefix")) {
            continue;
        }
        const route* matched =
            parsed->find_route("shop.example", declared["path_prefix"].get<std::string>() + "x");
        RC_ASSERT(matched != nullptr);
        // Damage may give another route the same prefix.
        RC_ASSERT(matched->path_prefix == declared["path_prefix"].get<std::string>());
        const bool is_damaged = touches(damaged, path);
        const bool is_service_damaged = touches(damaged, "/services");
        if (!is_damaged && !is_service_damaged && matched->name == declared["name"]) {
            RC_ASSERT(matched->usable);
            RC_ASSERT(matched->service == declared.value("service", ""));
        }
    }
}

} // namespace
} // namespace chestnutstand
