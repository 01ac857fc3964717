#pragma once

#include "chestnutstand/membership/member.h"

namespace chestnutstand {

/// Whether state a replaces state b of the same member. The order is total: the higher incarnation
/// takes precedence, then the later liveness value (alive, suspect, dead, left), then the remaining
/// fields. Only a member increments its own incarnation, so states of one incarnation differ only
/// in liveness.
bool supersedes(const member& a, const member& b);

/// The state that two nodes hold after they have exchanged states a and b of a member.
inline const member& merge(const member& a, const member& b)
{
    return supersedes(a, b) ? a : b;
}

inline bool is_live(const member& m)
{
    return m.state == liveness::alive || m.state == liveness::suspect;
}

} // namespace chestnutstand
