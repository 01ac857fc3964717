#pragma once

#include "chestnutstand/membership/member.h"

namespace chestnutstand {

/// True when the state a replaces the state b of the same member. The order is total: a higher
/// incarnation wins, then the worse liveness, then the remaining fields. Only a member raises its
/// own incarnation, so states of one incarnation differ in liveness alone.
bool supersedes(const member& a, const member& b);

/// The state that two nodes agree on after they have exchanged a and b.
inline const member& merge(const member& a, const member& b)
{
    return supersedes(a, b) ? a : b;
}

inline bool is_live(const member& m)
{
    return m.state == liveness::alive || m.state == liveness::suspect;
}

} // namespace chestnutstand
