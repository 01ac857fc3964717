#include "chestnutstand/config/document_parser.h"

#include "schema.h"

#include "chestnutstand/support/str_cat.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace chestnutstand {
namespace {

constexpr schema::text_format name_format{"1 to 64 letters, digits, '.', '_' or '-'",
                                          is_valid_name};
constexpr schema::text_format record_name_format{"1 to 256 bytes without control characters",
                                                 is_valid_record_name};
constexpr schema::text_format any_text_format{"any text", [](std::string_view) { return true; }};
constexpr schema::text_format non_empty_format{"a text that is not empty",
                                               [](std::string_view text) { return !text.empty(); }};
/// Length of the lists of a record, which its operator limits.
constexpr schema::limits any_length{0, std::numeric_limits<double>::infinity()};

const schema::object_schema<priority_config>& priority_keys()
{
    static const schema::object_schema<priority_config> keys{
        schema::required(schema::text("name", name_format, &priority_config::name)),
        schema::number("latency_target_ms", "ms", {1, 600'000}, &priority_config::latency_target),
        schema::number("weight", "", {0.001, 1'000}, &priority_config::weight),
        schema::flag("idempotent", &priority_config::idempotent),
    };
    return keys;
}

const schema::object_schema<service_config>& service_keys()
{
    const auto as_text = [](const std::string& name) { return name; };
    static const schema::object_schema<service_config> keys{
        schema::required(schema::text("name", name_format, &service_config::name)),
        schema::required(schema::named_list("priorities", {1, 16}, priority_keys(),
                                            &service_config::priorities)),
        schema::number("reserve", "", {0, 1}, &service_config::reserve),
        schema::number("probe_budget_per_s", "1/s", {0, 100}, &service_config::probe_budget_per_s),
        schema::number("retry_ratio", "", {0, 1}, &service_config::retry_ratio),
        schema::integer("queue_limit_per_priority", "requests", {1, 100'000},
                        &service_config::queue_limit_per_priority),
        schema::number("slot_share", "", {0.01, 1}, &service_config::slot_share),
        schema::choice(
            "balancing_policy",
            {"two_choices", "two_choices_stale", "least_outstanding", "round_robin", "random"}, 0,
            &service_config::balancing_policy, as_text),
    };
    return keys;
}

/// Length limit of host names and path prefixes.
constexpr std::size_t max_prefix_length = 1'024;

bool is_host(std::string_view text)
{
    return !text.empty() && text.size() <= max_prefix_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return absl::ascii_isgraph(c) && c != '/'; });
}

bool is_path_prefix(std::string_view text)
{
    return !text.empty() && text.size() <= max_prefix_length && text.front() == '/' &&
           text.back() == '/' && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return absl::ascii_isgraph(c) && c != '?' && c != '#';
           });
}

bool is_record_path_prefix(std::string_view text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

bool is_health_path(std::string_view text)
{
    return text.empty() || text.front() == '/';
}

constexpr schema::text_format host_format{"a host name without a slash", is_host};
constexpr schema::text_format prefix_format{"a path that begins and ends with /", is_path_prefix};
constexpr schema::text_format record_prefix_format{"a path that begins and ends with /",
                                                   is_record_path_prefix};
constexpr schema::text_format health_format{"a path that begins with /", is_health_path};

/// Texts of a route in a section and in a record. The platform limits those of a record less.
struct route_formats {
    schema::text_format host;
    schema::text_format path_prefix;
    schema::text_format service;
    schema::limits split_length;
};

schema::object_schema<route_target> make_route_target_keys(const route_formats& formats)
{
    return {
        schema::required(schema::text("service", formats.service, &route_target::service)),
        schema::number("weight", "", {0, 1e12}, &route_target::weight),
    };
}

schema::object_schema<route> make_route_keys(schema::key_rule<route> name,
                                             const route_formats& formats)
{
    return {
        std::move(name),
        schema::required(schema::text("host", formats.host, &route::host)),
        schema::text("path_prefix", formats.path_prefix, &route::path_prefix),
        schema::text("service", formats.service, &route::service),
        // Without one of its targets, a split would send that target's requests to the others.
        schema::exact(schema::list("split", formats.split_length, make_route_target_keys(formats),
                                   &route::split)),
        schema::enumeration("kind", request_kind_names, &route::kind),
        schema::number("timeout_ms", "ms", {1, 600'000}, &route::timeout),
        schema::number("latency_target_ms", "ms", {1, 600'000}, &route::latency_target),
        schema::integer("attempts", "", {1, 100}, &route::attempts),
        schema::integer("rank", "", {0, 1'000'000}, &route::rank),
        schema::flag("anonymous", &route::anonymous),
    };
}

const schema::object_schema<route>& section_route_keys()
{
    static const schema::object_schema<route> keys =
        make_route_keys(schema::required(schema::text("name", name_format, &route::name)),
                        {host_format, prefix_format, name_format, {0, 100}});
    return keys;
}

const schema::object_schema<route>& record_route_keys()
{
    static const schema::object_schema<route> keys =
        make_route_keys(schema::text("name", any_text_format, &route::name),
                        {non_empty_format, record_prefix_format, record_name_format, any_length});
    return keys;
}

/// Keeps a damaged route as one that is not usable, if it is known which requests it would match.
bool keep_unusable(const nlohmann::json& value, route& out)
{
    const auto text_of = [&](const char* key) {
        const auto found = value.find(key);
        return found != value.end() && found->is_string() ? std::optional{found->get<std::string>()}
                                                          : std::nullopt;
    };
    const auto host = value.is_object() ? text_of("host") : std::nullopt;
    const auto prefix = !host                           ? std::nullopt
                        : value.contains("path_prefix") ? text_of("path_prefix")
                                                        : std::optional{route{}.path_prefix};
    if (!prefix) {
        return false;
    }
    out = {};
    out.name = text_of("name").value_or("");
    out.host = *host;
    out.path_prefix = *prefix;
    out.usable = false;
    return true;
}

const schema::object_schema<tenant>& tenant_keys()
{
    static const schema::object_schema<tenant> keys{
        schema::required(schema::text("name", record_name_format, &tenant::name)),
        schema::text_list("keys", any_length, non_empty_format, &tenant::keys),
        schema::optional_integer("rank", "", {0, 1'000'000}, &tenant::rank),
        schema::number("rate_per_s", "1/s", {0, 1e9}, &tenant::rate_per_s),
        schema::number("burst", "requests", {0, 1e9}, &tenant::burst),
    };
    return keys;
}

const schema::object_schema<caller_limits>& caller_limits_keys()
{
    static const schema::object_schema<caller_limits> keys{
        schema::or_default(schema::integer("max_header_bytes", "bytes", {256, 1'048'576},
                                           &caller_limits::max_header_bytes)),
        schema::or_default(schema::integer("max_body_bytes", "bytes", {0, 1'073'741'824},
                                           &caller_limits::max_body_bytes)),
        schema::or_default(schema::number("header_timeout_ms", "ms", {1, 600'000},
                                          &caller_limits::header_timeout)),
        schema::or_default(
            schema::number("idle_timeout_ms", "ms", {1, 3'600'000}, &caller_limits::idle_timeout)),
    };
    return keys;
}

/// Keys of a service in a record, which has no priority classes: they are derived from the routes.
const schema::object_schema<service_config>& record_service_keys()
{
    static const schema::object_schema<service_config> keys{
        schema::required(schema::text("name", record_name_format, &service_config::name)),
        schema::text("health_path", health_format, &service_config::health_path),
        schema::integer("max_connections", "", {0, 1'000'000}, &service_config::max_connections),
        schema::number("cold_start_s", "s", {0, 86'400}, &service_config::cold_start_s),
        schema::number("cold_per_s", "1/s", {0, 1e6}, &service_config::cold_per_s),
    };
    return keys;
}

constexpr const char* tenants_key = "tenants";

const schema::object_schema<document>& record_keys()
{
    static const schema::object_schema<document> keys{
        schema::required(
            schema::exact(schema::integer("version", "", {1, 9e18}, &document::version))),
        schema::required(
            schema::named_list("services", any_length, record_service_keys(), &document::services)),
        schema::required(schema::list("routes", any_length, record_route_keys(), &document::routes,
                                      keep_unusable)),
        schema::or_default(
            schema::named_list(tenants_key, any_length, tenant_keys(), &document::tenants)),
        schema::or_default(schema::object("limits", caller_limits_keys(), &document::limits)),
    };
    return keys;
}

absl::Status check_route_services(const route& checked, const document& parsed)
{
    std::vector<std::string_view> services;
    double weights = 0.0;
    for (const auto& target : checked.split) {
        services.emplace_back(target.service);
        weights += target.weight;
    }
    if (!checked.service.empty()) {
        services.emplace_back(checked.service);
    }
    if (checked.service.empty() == checked.split.empty() ||
        (!checked.split.empty() && weights <= 0.0)) {
        return absl::InvalidArgumentError(
            str_cat("route ", checked.name, ": expected either a service or a split with weight"));
    }
    for (const auto service : services) {
        if (parsed.find_service(service) == nullptr) {
            return absl::InvalidArgumentError(
                str_cat("route ", checked.name, ": expected a declared service, found ", service));
        }
    }
    return absl::OkStatus();
}

/// Checks that all routes have declared services, and that no two have the same host and path
/// prefix.
absl::Status check_routes(const document& parsed)
{
    std::set<std::pair<std::string_view, std::string_view>> prefixes;
    for (const auto& checked : parsed.routes) {
        if (auto status = check_route_services(checked, parsed); !status.ok()) {
            return status;
        }
        if (!prefixes.emplace(checked.host, checked.path_prefix).second) {
            return absl::InvalidArgumentError(
                str_cat("route ", checked.name, ": expected a host and path prefix that no other ",
                        "route has, found ", checked.host, checked.path_prefix));
        }
    }
    return absl::OkStatus();
}

/// Marks the routes without a declared service as not usable. Of several routes with the same host
/// and path prefix, requests match the first.
void mark_unusable_routes(document& parsed)
{
    for (auto& checked : parsed.routes) {
        if (!checked.usable) {
            continue;
        }
        if (const auto status = check_route_services(checked, parsed); !status.ok()) {
            checked.usable = false;
            parsed.tolerated.left_out.push_back(std::string{status.message()});
        }
    }
}

/// Slots beyond this share cost more latency in the others than they add concurrency.
constexpr double record_slot_share = 0.8;

/// Adds the priority class of a route and a tenant's rank to a service unless it exists.
void add_priority_class(service_config& service, const route& source,
                        std::optional<std::uint32_t> tenant_rank)
{
    const std::string name = class_name_of(source, tenant_rank);
    if (service.find_priority(name) == nullptr) {
        service.priorities.push_back({name, source.latency_target, 1.0, source.idempotent(),
                                      tenant_rank.value_or(source.rank)});
    }
}

/// Ranks by which tenants replace the rank of a route; nullopt stands for the rank of the route.
using tenant_ranks = std::set<std::optional<std::uint32_t>>;

/// Returns the distinct ranks of the requests to a route that is not anonymous. Without tenants, it
/// is that of the route: a service needs a class, also while no request can have a key.
tenant_ranks ranks_of(const std::vector<tenant>& tenants)
{
    tenant_ranks ranks;
    for (const tenant& account : tenants) {
        ranks.insert(account.rank);
    }
    return ranks.empty() ? tenant_ranks{std::nullopt} : ranks;
}

/// Gives each service one class for each rank and latency target of the requests that may reach it:
/// a route that is not anonymous takes only requests of tenants, each with the rank of its tenant
/// if that has one.
void derive_priority_classes(document& parsed)
{
    const tenant_ranks with_key = ranks_of(parsed.tenants);
    const tenant_ranks without_key{std::nullopt};
    for (auto& service : parsed.services) {
        service.slot_share = record_slot_share;
    }
    for (const auto& source : parsed.routes) {
        for (auto& service : parsed.services) {
            const bool is_target =
                source.service == service.name ||
                std::any_of(source.split.begin(), source.split.end(),
                            [&](const auto& target) { return target.service == service.name; });
            if (!is_target) {
                continue;
            }
            for (const auto& rank : source.anonymous ? without_key : with_key) {
                add_priority_class(service, source, rank);
            }
        }
    }
}

const schema::object_schema<section_content>& section_keys()
{
    static const schema::object_schema<section_content> keys{
        schema::required(schema::text("owner", name_format, &section_content::owner)),
        schema::required(
            schema::named_list("services", {0, 1'000}, service_keys(), &section_content::services)),
        schema::list("routes", {0, 10'000}, section_route_keys(), &section_content::routes),
    };
    return keys;
}

} // namespace

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
           });
}

bool is_valid_record_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_record_name_length &&
           std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return absl::ascii_iscntrl(c); });
}

absl::StatusOr<section_content> parse_section(std::string_view content, std::string_view source)
{
    const json_location root{std::string{source}, ""};
    if (content.size() > max_section_bytes) {
        return invalid_value(root, str_cat("expected at most ", max_section_bytes, " bytes, found ",
                                           content.size()));
    }
    const auto value = parse_json(content, source);
    if (!value.ok()) {
        return value.status();
    }
    section_content result;
    if (auto status = schema::read_object(section_keys(), *value, root, result); !status.ok()) {
        return status;
    }
    return result;
}

absl::StatusOr<document> parse_document(const std::vector<section>& sections)
{
    if (sections.empty()) {
        return absl::FailedPreconditionError("the document has no section yet");
    }
    document result;
    std::map<std::string, std::string> section_by_service;
    std::size_t bytes = 0;
    for (const auto& published : sections) {
        auto content = parse_section(published.content, str_cat("section ", published.name));
        if (!content.ok()) {
            return content.status();
        }
        bytes += published.content.size();
        result.version = std::max(result.version, published.version);
        for (auto& service : content->services) {
            const auto [first, is_new] = section_by_service.emplace(service.name, published.name);
            if (!is_new) {
                return absl::InvalidArgumentError(str_cat(
                    "section ", published.name,
                    ": services: expected a service that no other section ", "declares, found ",
                    service.name, ", which section ", first->second, " declares"));
            }
            result.services.push_back(std::move(service));
        }
        for (auto& declared : content->routes) {
            result.routes.push_back(std::move(declared));
        }
    }
    if (auto status = check_routes(result); !status.ok()) {
        return status;
    }
    result.index_routes();
    if (bytes > max_document_bytes) {
        return absl::InvalidArgumentError(str_cat("expected a document of at most ",
                                                  max_document_bytes, " bytes, found ", bytes));
    }
    return result;
}

std::string class_name_of(const route& classified, std::optional<std::uint32_t> tenant_rank)
{
    return str_cat(rank_prefix(tenant_rank.value_or(classified.rank)),
                   classified.latency_target.count());
}

std::string rank_prefix(std::uint32_t rank)
{
    return str_cat("rank-", rank, "/");
}

absl::StatusOr<document> parse_record(std::string_view content, std::string_view source)
{
    const auto value = parse_json(content, source);
    if (!value.ok()) {
        return value.status();
    }
    json_location root{std::string{source}, ""};
    // A newer author of the record may use keys and names that this version does not know.
    root.unknown_keys_allowed = true;
    document result;
    // The store has acknowledged the version, so that one value must not keep the others out of
    // force.
    root.tolerated = &result.tolerated;
    if (auto status = schema::read_object(record_keys(), *value, root, result); !status.ok()) {
        return status;
    }
    mark_unusable_routes(result);
    derive_priority_classes(result);
    result.index_routes();
    if (value->contains(tenants_key)) {
        result.index_tenants();
    }
    return result;
}

std::vector<key_description> describe_record()
{
    return schema::describe(record_keys());
}

std::vector<key_description> describe_section()
{
    return schema::describe(section_keys());
}

} // namespace chestnutstand
