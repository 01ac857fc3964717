#pragma once

#include "chestnutstand/routing/retry_budget.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/call.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {

/// One dispatched call with its attempts.
struct dispatched_call {
    dispatched_call(const service_call& given, call_done callback, bool may_repeat)
        : call{given}, done{std::move(callback)},
          idempotent{may_repeat}, budget{std::min(given.retry_budget, max_tree_budget)}
    {
    }

    const service_call call;
    const call_done done;
    const bool idempotent;

    const time_point started = ms_clock::now();
    std::mutex mutex;
    tree_budget budget;
    std::vector<std::uint64_t> tried;
    /// Those of them that would not start the call at once because their upstream was slow.
    std::vector<std::uint64_t> slow;
    /// The call waits for a slow upstream, because there is no other.
    bool slow_members_allowed = false;
    /// One for each attempt, so that the attempts that lose against a hedge can be ended.
    std::vector<std::shared_ptr<cancellation>> cancels;
    std::size_t placements = 0;
    /// Attempts that admission queues have refused.
    std::size_t queue_refusals = 0;
    std::uint64_t document_version = 0;
    /// What became of the attempts, for the log line of the call.
    std::string history;
    std::size_t running = 0;
    bool finished = false;
    /// The result that says most about whether the call ran.
    std::optional<call_result> failure;

    void note_attempt(const call_result& result, std::uint64_t member)
    {
        const std::string end = result.outcome == call_outcome::completed
                                    ? std::to_string(result.response.status)
                                    : std::string{to_string(result.reason)};
        absl::StrAppend(&history, history.empty() ? "" : " ", end, "@", absl::Hex(member));
    }

    /// Makes the members that only were slow eligible again; false when there are none.
    bool allow_slow_members()
    {
        std::erase_if(tried, [this](std::uint64_t instance) {
            return std::find(slow.begin(), slow.end(), instance) != slow.end();
        });
        slow_members_allowed = true;
        return !std::exchange(slow, {}).empty();
    }
};

} // namespace chestnutstand
