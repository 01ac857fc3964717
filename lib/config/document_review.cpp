#include "chestnutstand/config/document_review.h"

#include "chestnutstand/support/str_cat.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace chestnutstand {
namespace {

/// Window in which the platform counts the requests of a tenant.
constexpr double quota_window_s = 5.0;

std::string name_of(const route& described)
{
    return str_cat("route ", described.name, " (", described.host, described.path_prefix, ")");
}
std::string name_of(const service_config& described)
{
    return str_cat("service ", described.name);
}
std::string name_of(const tenant& described)
{
    return str_cat("tenant ", described.name);
}

std::string text_of(const std::string& value)
{
    return value.empty() ? "none" : value;
}
std::string text_of(bool value)
{
    return value ? "true" : "false";
}
std::string text_of(double value)
{
    return str_cat(value);
}
std::string text_of(milliseconds value)
{
    return str_cat(value.count());
}
std::string text_of(std::uint32_t value)
{
    return str_cat(value);
}
std::string text_of(std::size_t value)
{
    return str_cat(value);
}
std::string text_of(request_kind value)
{
    return std::string{request_kind_names.name(value)};
}
std::string text_of(const std::optional<std::uint32_t>& value)
{
    return value ? str_cat(*value) : "none";
}
std::string text_of(const std::vector<route_target>& split)
{
    std::string text;
    for (const auto& target : split) {
        text += str_cat(text.empty() ? "" : " ", target.service, ":", target.weight);
    }
    return text.empty() ? "none" : text;
}

/// Collects the findings about one document.
class reviewer {
public:
    reviewer(const document& reviewed, std::uint32_t nodes) : document_{reviewed}, nodes_{nodes} {}

    std::vector<document_finding> run()
    {
        check_routes();
        check_services();
        check_tenants();
        check_keys();
        return std::move(findings_);
    }

private:
    void add(finding_kind kind, std::string entry, std::string text)
    {
        findings_.push_back({kind, std::move(entry), std::move(text)});
    }

    void check_routes()
    {
        for (const auto& checked : document_.routes) {
            // Hosts are compared without their port and without regard to case, so that two
            // different texts may name one host.
            const route* first = document_.find_route(checked.host, checked.path_prefix);
            if (first != nullptr && first != &checked) {
                add(finding_kind::never_matches, name_of(checked),
                    str_cat("is behind ", name_of(*first), ", which has the same host and prefix"));
            }
            for (const auto& target : checked.split) {
                if (target.weight <= 0.0) {
                    add(finding_kind::never_matches, name_of(checked),
                        str_cat("service ", target.service, " of the split has weight 0"));
                }
            }
            if (checked.timeout < checked.latency_target) {
                add(finding_kind::contradiction, name_of(checked),
                    str_cat("timeout_ms ", checked.timeout.count(), " is below latency_target_ms ",
                            checked.latency_target.count()));
            }
        }
    }

    void check_services()
    {
        std::set<std::string_view> reached;
        for (const auto& source : document_.routes) {
            if (document_.find_route(source.host, source.path_prefix) != &source) {
                continue;
            }
            reached.insert(source.service);
            for (const auto& target : source.split) {
                if (target.weight > 0.0) {
                    reached.insert(target.service);
                }
            }
        }
        for (const auto& checked : document_.services) {
            if (!reached.contains(checked.name)) {
                add(finding_kind::never_matches, name_of(checked), "no route leads to it");
            }
            if (checked.cold_per_s > 0.0 && checked.health_path.empty()) {
                add(finding_kind::contradiction, name_of(checked),
                    "cold_per_s is set, but there is no health_path at which an upstream could "
                    "say that it is cold");
            }
        }
    }

    void check_tenants()
    {
        const bool all_anonymous =
            std::all_of(document_.routes.begin(), document_.routes.end(),
                        [](const route& checked) { return checked.anonymous; });
        if (document_.requires_keys() && document_.tenants.empty()) {
            for (const auto& checked : document_.routes) {
                if (!checked.anonymous) {
                    add(finding_kind::never_matches, name_of(checked),
                        "needs an API key, but the list of tenants is empty");
                }
            }
        }
        for (const auto& checked : document_.tenants) {
            if (checked.keys.empty()) {
                add(finding_kind::never_matches, name_of(checked), "has no keys");
            }
            else if (all_anonymous) {
                add(finding_kind::never_matches, name_of(checked), "all routes are anonymous");
            }
            const double in_window = checked.rate_per_s * quota_window_s + checked.burst;
            if (checked.rate_per_s > 0.0 && in_window < nodes_) {
                add(finding_kind::contradiction, name_of(checked),
                    str_cat("its quota of ", in_window, " requests in ", quota_window_s,
                            " s is below one for each of ", nodes_, " node(s)"));
            }
            if (checked.rate_per_s <= 0.0 && checked.burst > 0.0) {
                add(finding_kind::contradiction, name_of(checked),
                    "burst has no effect without rate_per_s");
            }
        }
    }

    // Names keys by their position, because they are secrets.
    void check_keys()
    {
        std::map<std::string_view, std::pair<const tenant*, std::size_t>> first_use;
        for (const auto& checked : document_.tenants) {
            for (std::size_t i = 0; i < checked.keys.size(); ++i) {
                const auto [found, is_new] =
                    first_use.try_emplace(checked.keys[i], std::pair{&checked, i});
                if (is_new) {
                    continue;
                }
                const auto& [owner, position] = found->second;
                add(finding_kind::contradiction, name_of(checked),
                    owner == &checked
                        ? str_cat("keys[", i, "] repeats keys[", position, "]")
                        : str_cat("keys[", i, "] is also keys[", position, "] of ", name_of(*owner),
                                  "; a key of two tenants belongs to neither"));
            }
        }
    }

    const document& document_;
    const std::uint32_t nodes_;
    std::vector<document_finding> findings_;
};

/// Collects the differences between two documents.
class comparison {
public:
    std::vector<document_difference> run(const document& reviewed, const document& in_force)
    {
        if (reviewed.version != in_force.version) {
            add("document", str_cat("version ", in_force.version, " -> ", reviewed.version));
        }
        if (reviewed.requires_keys() != in_force.requires_keys()) {
            add("document", reviewed.requires_keys() ? "requests need an API key"
                                                     : "requests need no API key any more");
        }
        compare_entries(reviewed.services, in_force.services,
                        [](const service_config& entry) { return entry.name; });
        compare_entries(reviewed.routes, in_force.routes,
                        [](const route& entry) { return str_cat(entry.host, entry.path_prefix); });
        compare_entries(reviewed.tenants, in_force.tenants,
                        [](const tenant& entry) { return entry.name; });
        compare_values("limits", reviewed.limits, in_force.limits);
        return std::move(differences_);
    }

private:
    void add(std::string entry, std::string text)
    {
        differences_.push_back({std::move(entry), std::move(text)});
    }

    template <typename Entry, typename Key>
    void compare_entries(const std::vector<Entry>& reviewed, const std::vector<Entry>& in_force,
                         Key key_of)
    {
        std::map<std::string, const Entry*> before;
        for (const Entry& entry : in_force) {
            before.emplace(key_of(entry), &entry);
        }
        for (const Entry& entry : reviewed) {
            const auto found = before.find(key_of(entry));
            if (found == before.end()) {
                add(name_of(entry), "added");
                continue;
            }
            compare_values(name_of(entry), entry, *found->second);
            before.erase(found);
        }
        for (const auto& [key, entry] : before) {
            add(name_of(*entry), "removed");
        }
    }

    template <typename Value>
    void compare_value(const std::string& entry, std::string_view name, const Value& reviewed,
                       const Value& in_force)
    {
        std::string now = text_of(reviewed);
        std::string before = text_of(in_force);
        if (now != before) {
            add(entry, str_cat(name, " ", before, " -> ", now));
        }
    }

    void compare_values(const std::string& entry, const service_config& reviewed,
                        const service_config& in_force)
    {
        compare_value(entry, "health_path", reviewed.health_path, in_force.health_path);
        compare_value(entry, "max_connections", reviewed.max_connections, in_force.max_connections);
        compare_value(entry, "cold_start_s", reviewed.cold_start_s, in_force.cold_start_s);
        compare_value(entry, "cold_per_s", reviewed.cold_per_s, in_force.cold_per_s);
    }

    void compare_values(const std::string& entry, const route& reviewed, const route& in_force)
    {
        compare_value(entry, "name", reviewed.name, in_force.name);
        compare_value(entry, "service", reviewed.service, in_force.service);
        compare_value(entry, "split", reviewed.split, in_force.split);
        compare_value(entry, "kind", reviewed.kind, in_force.kind);
        compare_value(entry, "timeout_ms", reviewed.timeout, in_force.timeout);
        compare_value(entry, "latency_target_ms", reviewed.latency_target, in_force.latency_target);
        compare_value(entry, "attempts", reviewed.attempts, in_force.attempts);
        compare_value(entry, "rank", reviewed.rank, in_force.rank);
        compare_value(entry, "anonymous", reviewed.anonymous, in_force.anonymous);
    }

    void compare_values(const std::string& entry, const tenant& reviewed, const tenant& in_force)
    {
        compare_value(entry, "rank", reviewed.rank, in_force.rank);
        compare_value(entry, "rate_per_s", reviewed.rate_per_s, in_force.rate_per_s);
        compare_value(entry, "burst", reviewed.burst, in_force.burst);
        const std::set<std::string_view> now{reviewed.keys.begin(), reviewed.keys.end()};
        const std::set<std::string_view> before{in_force.keys.begin(), in_force.keys.end()};
        const auto missing_in = [](const auto& searched, const auto& keys) {
            return std::count_if(keys.begin(), keys.end(),
                                 [&](const auto& key) { return !searched.contains(key); });
        };
        const auto added = missing_in(before, now);
        const auto removed = missing_in(now, before);
        if (added > 0 || removed > 0) {
            add(entry, str_cat("keys: ", added, " added, ", removed, " removed"));
        }
    }

    void compare_values(const std::string& entry, const caller_limits& reviewed,
                        const caller_limits& in_force)
    {
        compare_value(entry, "max_header_bytes", reviewed.max_header_bytes,
                      in_force.max_header_bytes);
        compare_value(entry, "max_body_bytes", reviewed.max_body_bytes, in_force.max_body_bytes);
        compare_value(entry, "header_timeout_ms", reviewed.header_timeout, in_force.header_timeout);
        compare_value(entry, "idle_timeout_ms", reviewed.idle_timeout, in_force.idle_timeout);
    }

    std::vector<document_difference> differences_;
};

} // namespace

std::vector<document_finding> review_document(const document& reviewed, std::uint32_t nodes)
{
    return reviewer{reviewed, nodes}.run();
}

std::vector<document_finding> review_succession(const document& reviewed, const document& in_force)
{
    if (reviewed.version > in_force.version) {
        return {};
    }
    return {{finding_kind::contradiction, "document",
             str_cat("version ", reviewed.version, " is not above version ", in_force.version,
                     " in force, so that nodes ignore it")}};
}

std::vector<document_difference> compare_documents(const document& reviewed,
                                                   const document& in_force)
{
    return comparison{}.run(reviewed, in_force);
}

} // namespace chestnutstand
