#include "chestnutstand/membership/member_order.h"

#include <tuple>

namespace chestnutstand {

namespace {

auto order_key(const member& m)
{
    return std::tie(m.incarnation, m.state, m.draining, m.service, m.slots, m.node.address,
                    m.gossip_port, m.node.node_port, m.data_centre);
}

} // namespace

bool supersedes(const member& a, const member& b)
{
    return order_key(a) > order_key(b);
}

} // namespace chestnutstand
