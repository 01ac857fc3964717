#pragma once

#include "history.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chestnutstand::history {

enum class rule : std::uint8_t {
    at_most_once,      ///< A key ran more than once.
    not_run,           ///< A call reported as not-run was executed, before or after.
    own_response,      ///< A completed call has not the complete response of its execution.
    unexplained_loss,  ///< A final unknown outcome without a disturbance that explains it.
    version_decreased, ///< A node went back to a lower configuration version.
};

struct violation {
    rule broken = rule::at_most_once;
    /// Names the call, key or node and what was seen.
    std::string detail;
};

struct report {
    std::vector<violation> violations;
    std::size_t completed = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::map<reason_code, std::size_t> unknown_by_reason;

    bool holds() const { return violations.empty(); }
};

/// Checks a recorded history. An unknown outcome that is not final (the key was still running or a
/// process could not be reached) is only counted. One that is final needs the death of a candidate
/// (executor_gone), or the death or a fault of any process (the upstream's result was lost).
report check(const records& seen);

std::string_view to_string(rule value);

} // namespace chestnutstand::history
