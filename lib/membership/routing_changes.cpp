#include "chestnutstand/membership/routing_changes.h"

#include <algorithm>
#include <iterator>

namespace chestnutstand {
namespace {

bool contains(const routing_table& table, const member& wanted)
{
    const auto* members = table.find(wanted.service);
    return members != nullptr &&
           std::any_of(members->begin(), members->end(), [&](const member& candidate) {
               return candidate.node.instance == wanted.node.instance;
           });
}

/// Members of a table that another table does not contain.
std::vector<member> missing_in(const routing_table& other, const routing_table& table)
{
    std::vector<member> missing;
    for (const auto& [service, members] : table.by_service) {
        std::copy_if(members.begin(), members.end(), std::back_inserter(missing),
                     [&](const member& candidate) { return !contains(other, candidate); });
    }
    return missing;
}

} // namespace

routing_changes compare_routes(const routing_table& before, const routing_table& after)
{
    return {missing_in(before, after), missing_in(after, before)};
}

} // namespace chestnutstand
