#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/tenancy/tenant_directory.h"
#include "chestnutstand/transport/call.h"

namespace chestnutstand {

/// Returns whether a node with this document may start a call that the entry node has admitted.
///
/// A key that the document does not list has been removed if the document is at least as new as the
/// one that admitted the call. If it is older, the key may have been added since, and the check of
/// the entry node holds. A document without tenants requires no keys.
inline bool admits_tenant(const document& in_force, const service_call& call)
{
    if (call.tenant.empty() || !in_force.directory || in_force.version < call.document_version) {
        return true;
    }
    return in_force.directory->owns(call.tenant, call.key_id);
}

} // namespace chestnutstand
