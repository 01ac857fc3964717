#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chestnutstand {

/// Tells from its time limit how long the caller of a request has waited already.
///
/// Load pattern: under overload, a part of the requests comes from callers that were refused before
/// and came back. Such a request has a new id, but its time limit is what is left of the first one,
/// and the latency target counts from the first try. Callers of one route use few different time
/// limits, each of them often; a limit that occurs rarely is what is left of the next larger one.
///
/// A route whose callers all use different limits has no frequent one, and its requests count as
/// new. Does no I/O and reads no clock. Not thread-safe.
class time_limit_profile {
public:
    /// Records the time limit of a request and returns the time that its caller has waited before;
    /// zero for a first try.
    milliseconds time_spent(milliseconds limit);

private:
    struct entry {
        std::int64_t limit_ms = 0;
        std::uint32_t count = 0;
    };

    void record(std::int64_t limit_ms);
    bool is_frequent(const entry& candidate) const;

    /// Sorted by limit.
    std::vector<entry> entries_;
    std::uint32_t recorded_ = 0;
};

} // namespace chestnutstand
