#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/transport/call.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Tenant that a request belongs to.
struct request_tenant {
    /// Null if the request has no tenant: its route is anonymous, or the document has no list of
    /// tenants.
    const tenant* account = nullptr;
    /// Identifies the key of the request without containing it; 0 if the request has no tenant.
    std::uint64_t key_id = 0;
};

/// Returns the token of `Authorization: Bearer TOKEN`, or nullopt if there is no such header, more
/// than one Authorization header, or no token. The scheme is compared case-insensitively (RFC 9110,
/// 11.1).
std::optional<std::string_view> find_bearer_token(const std::vector<http_header>& headers);

/// Returns the tenant of a request to the route, or nullopt if the request needs an API key and has
/// none that belongs to exactly one tenant.
std::optional<request_tenant> find_request_tenant(const std::vector<http_header>& headers,
                                                  const document& in_force, const route& matched);

/// Removes all Authorization headers if the document has a list of tenants, on anonymous routes as
/// well: a key that has just been removed from the document, or that is sent without its scheme,
/// looks like any other credentials, and no key may reach an upstream.
void remove_credentials(std::vector<http_header>& headers, const document& in_force);

} // namespace chestnutstand
