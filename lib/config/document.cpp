#include "chestnutstand/config/document.h"

#include "chestnutstand/tenancy/tenant_directory.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <numeric>

namespace chestnutstand {
namespace {

/// Value of a Host header without the port, in lower case.
std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    // A colon within brackets is part of an IPv6 address.
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    return absl::AsciiStrToLower(absl::string_view{host.data(), host.size()});
}

} // namespace

const priority_config* service_config::find_priority(std::string_view priority) const
{
    const auto found =
        std::find_if(priorities.begin(), priorities.end(),
                     [&](const auto& candidate) { return candidate.name == priority; });
    return found == priorities.end() ? nullptr : &*found;
}

const std::string& route::service_at(double position) const
{
    if (split.empty()) {
        return service;
    }
    const double sum =
        std::accumulate(split.begin(), split.end(), 0.0,
                        [](double total, const auto& target) { return total + target.weight; });
    double remaining = position * sum;
    for (const auto& target : split) {
        if (remaining < target.weight) {
            return target.service;
        }
        remaining -= target.weight;
    }
    return split.back().service;
}

const service_config* document::find_service(std::string_view service) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&](const auto& candidate) {
        return candidate.name == service;
    });
    return found == services.end() ? nullptr : &*found;
}

void document::index_routes()
{
    routes_by_host.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routes_by_host[host_key(routes[i].host)].push_back(i);
    }
    for (auto& [host, indexes] : routes_by_host) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](auto left, auto right) {
            return routes[left].path_prefix.size() > routes[right].path_prefix.size();
        });
    }
}

void document::index_tenants()
{
    std::vector<tenant_keys> listed;
    listed.reserve(tenants.size());
    for (const tenant& account : tenants) {
        listed.push_back({account.name, account.keys});
    }
    directory = std::make_shared<const tenant_directory>(listed);
}

const route* document::find_route(std::string_view host, std::string_view target) const
{
    const auto found = routes_by_host.find(host_key(host));
    if (found == routes_by_host.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        if (path.rfind(routes[index].path_prefix, 0) == 0) {
            return &routes[index];
        }
    }
    return nullptr;
}

} // namespace chestnutstand
