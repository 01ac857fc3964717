#include "tenant_admission.h"

#include "chestnutstand/transport/headers.h"

namespace chestnutstand {
namespace {

bool needs_key(const document& in_force, const service_call& call)
{
    // An entry node of an older release states no version for a call without a key.
    if (!in_force.requires_keys() || call.document_version == 0 ||
        in_force.version <= call.document_version) {
        return false;
    }
    const auto host = find_header(call.request.headers, "host").value_or("");
    const route* matched = in_force.find_route(host, call.request.target);
    return matched != nullptr && !matched->anonymous;
}

} // namespace

bool admits_call(const document& in_force, const service_call& call)
{
    return call.tenant.empty() ? !needs_key(in_force, call) : admits_key(in_force, call);
}

} // namespace chestnutstand
