#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutstand {

/// What a settlement does to a call that waits for a slot.
enum class queued_attempt : std::uint8_t {
    fence, ///< It will never start.
    keep,  ///< It is reported as running and keeps its place.
};

/// Tracks the calls of an executor that are identified by the request id of the caller's attempt. A
/// node that lost its connection to the executor settles the id: a call that has not started is
/// fenced and will never start, so the node may send it to another executor or report that it did
/// not run. For calls that may repeat, this saves the retry that an unknown outcome costs.
///
/// Not thread-safe and does no I/O: the executor calls it in the critical section in which it
/// decides whether a call starts.
class attempt_ledger {
public:
    /// Records a call that waits for a slot. Returns false when the id is fenced or, for a call
    /// that must not repeat, already recorded; then the call must not run.
    bool admit(const std::string& id, time_point now, bool may_repeat = false);

    /// Marks a waiting call as started. Returns false when it was fenced while it waited; then it
    /// must not run.
    bool start(const std::string& id, bool may_repeat = false);

    /// Removes a call that was refused before it started, so that it may be sent here again. No
    /// effect on a call that has started.
    void refuse(const std::string& id);

    /// Records the result of a started call for the retention time. Drops the response when the
    /// ledger holds too many response bytes; the call then settles as unknown.
    void finish(const std::string& id, const call_result& result, time_point now);

    /// Returns the state of an id, and fences the id unless its call has started or is kept.
    settle_result settle(const std::string& id, time_point now,
                         queued_attempt queued = queued_attempt::fence);

    std::size_t size() const { return entries_.size(); }

private:
    enum class attempt_state : std::uint8_t { queued, started, ended, fenced };

    struct entry {
        attempt_state state = attempt_state::queued;
        call_result result;
    };
    struct expiry {
        time_point due;
        std::string id;
    };

    void expire(time_point now);
    void schedule_expiry(const std::string& id, time_point due);

    std::unordered_map<std::string, entry> entries_;
    /// Ended and fenced ids in the order of their expiry.
    std::deque<expiry> expiries_;
    std::size_t response_bytes_ = 0;
};

inline constexpr std::string_view attempt_key_prefix = "attempt:";
inline constexpr std::string_view overdue_attempt_key_prefix = "overdue-attempt:";

/// A settle request between nodes that is for an attempt and not for an issued key.
struct attempt_query {
    std::string request_id;
    queued_attempt queued = queued_attempt::fence;
};

/// Key text that a settle request carries for an attempt, in place of an issued key. A node that
/// does not know the prefix takes it for an invalid key and refuses the request.
inline std::string attempt_key(const attempt_query& query)
{
    const auto prefix =
        query.queued == queued_attempt::keep ? overdue_attempt_key_prefix : attempt_key_prefix;
    return std::string{prefix}.append(query.request_id);
}

/// The query in a key text; empty when the text is an issued key.
inline std::optional<attempt_query> parse_attempt_key(std::string_view key)
{
    for (const auto queued : {queued_attempt::fence, queued_attempt::keep}) {
        const auto prefix =
            queued == queued_attempt::keep ? overdue_attempt_key_prefix : attempt_key_prefix;
        if (key.size() > prefix.size() && key.rfind(prefix, 0) == 0) {
            return attempt_query{std::string{key.substr(prefix.size())}, queued};
        }
    }
    return std::nullopt;
}

} // namespace chestnutstand
