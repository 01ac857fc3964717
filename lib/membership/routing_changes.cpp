#include "chestnutstand/membership/routing_changes.h"

#include <algorithm>
#include <iterator>

namespace chestnutstand {
namespace {

bool contains(const routing_table& table, const member& wanted)
{
    const auto* members = table.find(wanted.service);
    return members != nullptr &&
           std::any_of(members->begin(), members->end(), [&](const member& each) {
               return each.node.instance == wanted.node.instance;
           });
}

/// Members of the one table that the other does not have.
std::vector<member> missing_in(const routing_table& other, const routing_table& of)
{
    std::vector<member> missing;
    for (const auto& [service, members] : of.by_service) {
        std::copy_if(members.begin(), members.end(), std::back_inserter(missing),
                     [&](const member& each) { return !contains(other, each); });
    }
    return missing;
}

} // namespace

routing_changes compare_routes(const routing_table& before, const routing_table& now)
{
    return {missing_in(before, now), missing_in(now, before)};
}

} // namespace chestnutstand
