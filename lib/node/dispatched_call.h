#pragma once

#include "chestnutstand/routing/retry_budget.h"
#include "chestnutstand/routing/service_peers.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/call.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {

/// One attempt of a dispatched call.
struct dispatched_attempt {
    std::shared_ptr<peer> target;
    /// Part of the call tree's budget that the attempt carries.
    std::uint32_t budget = 0;
    std::shared_ptr<cancellation> cancel = std::make_shared<cancellation>();
    /// Its response and a query about it may both report its end.
    std::atomic<bool> ended = false;
};

/// State of one dispatched call and its attempts.
struct dispatched_call {
    dispatched_call(const service_call& dispatched, call_done callback, bool may_repeat)
        : call{dispatched}, done{std::move(callback)}, idempotent{may_repeat},
          own_data_centre_only{dispatched.is_bulk}, budget{std::min(dispatched.retry_budget,
                                                                    max_tree_budget)}
    {
    }

    const service_call call;
    const call_done done;
    const bool idempotent;

    /// Whether the call is sent only to members in the data centre of this node. Ends when none of
    /// them can serve it.
    bool own_data_centre_only;
    const time_point started = ms_clock::now();
    std::mutex mutex;
    tree_budget budget;
    /// Instances that the call has been sent to.
    std::vector<std::uint64_t> tried_members;
    /// The tried instances that refused the call only because another member may start it earlier.
    std::vector<std::uint64_t> deferring_members;
    /// Whether the call may wait for an upstream that is slow or limits its rate, because no other
    /// member is left.
    bool deferring_members_allowed = false;
    /// Whether further attempts use new connections, because a pooled one did not deliver the call.
    bool fresh_connections = false;
    /// All attempts that have been started.
    std::vector<std::shared_ptr<dispatched_attempt>> attempts;
    /// Whether the call gets no further attempt, because the node stops.
    bool withdrawn = false;
    /// Number of attempts that have been started.
    std::size_t placements = 0;
    /// Number of attempts that an admission queue refused.
    std::size_t queue_refusals = 0;
    std::uint64_t document_version = 0;
    /// Result and instance of each finished attempt, for the log line of the call.
    std::string history;
    std::size_t attempts_in_flight = 0;
    bool finished = false;
    /// Failure to report if no attempt succeeds: a possible run takes precedence over a refusal.
    std::optional<call_result> failure;

    void note_attempt(const call_result& result, std::uint64_t member)
    {
        const std::string end = result.outcome == call_outcome::completed
                                    ? std::to_string(result.response.status)
                                    : std::string{to_string(result.reason)};
        absl::StrAppend(&history, history.empty() ? "" : " ", end, "@", absl::Hex(member));
    }

    /// Lets the call be sent to members in other data centres. Returns false if it could be before.
    bool leave_data_centre()
    {
        deferring_members_allowed = deferring_members_allowed && !own_data_centre_only;
        return std::exchange(own_data_centre_only, false);
    }

    /// Makes the deferring members eligible again, and lets the call wait for them. Returns false
    /// if there are none.
    bool allow_deferring_members()
    {
        std::erase_if(tried_members, [this](std::uint64_t instance) {
            return std::find(deferring_members.begin(), deferring_members.end(), instance) !=
                   deferring_members.end();
        });
        deferring_members_allowed = true;
        return !std::exchange(deferring_members, {}).empty();
    }
};

} // namespace chestnutstand
