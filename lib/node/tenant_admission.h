#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/tenancy/tenant_directory.h"
#include "chestnutstand/transport/call.h"

namespace chestnutstand {

/// Returns whether the API key with which the entry node has admitted a call may still be used
/// under this document; true for a call without a key.
///
/// A key that the document does not list has been removed if the document is at least as new as the
/// one that admitted the call. If it is older, the key may have been added since, and the check of
/// the entry node holds.
inline bool admits_key(const document& in_force, const service_call& call)
{
    if (call.tenant.empty() || !in_force.requires_keys() ||
        in_force.version < call.document_version) {
        return true;
    }
    return in_force.directory->owns(call.tenant, call.key_id);
}

/// Returns whether a node with this document may start a call that the entry node has admitted: its
/// key may be used, or it has none and its route needs none. The latter may have changed since,
/// too.
bool admits_call(const document& in_force, const service_call& call);

} // namespace chestnutstand
