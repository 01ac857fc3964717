#include "request_tenant.h"

#include "chestnutstand/tenancy/tenant_directory.h"
#include "chestnutstand/transport/headers.h"

namespace chestnutstand {
namespace {

constexpr std::string_view credentials_header = "Authorization";
constexpr std::string_view scheme = "Bearer";

} // namespace

std::optional<std::string_view> find_bearer_token(const std::vector<http_header>& headers)
{
    std::optional<std::string_view> credentials;
    for (const http_header& field : headers) {
        if (!header_name_equal(field.name, credentials_header)) {
            continue;
        }
        if (credentials) {
            return std::nullopt;
        }
        credentials = trim_whitespace(field.value);
    }
    if (!credentials || credentials->size() <= scheme.size() ||
        !header_name_equal(credentials->substr(0, scheme.size()), scheme) ||
        credentials->at(scheme.size()) != ' ') {
        return std::nullopt;
    }
    return trim_whitespace(credentials->substr(scheme.size()));
}

std::optional<request_tenant> find_request_tenant(const std::vector<http_header>& headers,
                                                  const document& in_force, const route& matched)
{
    if (!in_force.requires_keys() || matched.anonymous) {
        return request_tenant{};
    }
    const auto token = find_bearer_token(headers);
    const auto owner = token ? in_force.directory->find(*token) : std::nullopt;
    if (!owner) {
        return std::nullopt;
    }
    return request_tenant{&in_force.tenants.at(owner->tenant), owner->key_id};
}

void remove_credentials(std::vector<http_header>& headers, const document& in_force)
{
    if (!in_force.requires_keys()) {
        return;
    }
    std::erase_if(headers, [](const http_header& field) {
        return header_name_equal(field.name, credentials_header);
    });
}

} // namespace chestnutstand
