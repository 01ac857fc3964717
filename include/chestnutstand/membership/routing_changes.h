#pragma once

#include "chestnutstand/membership/member.h"

#include <vector>

namespace chestnutstand {

/// Difference of two routing tables. Members are identified by service and instance.
struct routing_changes {
    std::vector<member> added;
    std::vector<member> removed;
};

routing_changes compare_routes(const routing_table& before, const routing_table& after);

} // namespace chestnutstand
