#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutstand {

/// Tracks the calls of an executor that run at most once and are identified by the request id of
/// the caller's attempt. A node that lost its connection to the executor settles the id: a call
/// that has not started is fenced and will never start, so the node may send it to another executor
/// or report that it did not run.
///
/// Not thread-safe and does no I/O: the executor calls it in the critical section in which it
/// decides whether a call starts.
class attempt_ledger {
public:
    /// Records a call that waits for a slot. Returns false when the id is fenced or already
    /// recorded; then the call must not run.
    bool admit(const std::string& id, time_point now);

    /// Marks a waiting call as started. Returns false when it was fenced while it waited; then it
    /// must not run.
    bool start(const std::string& id);

    /// Removes a call that was refused before it started, so that it may be sent here again. No
    /// effect on a call that has started.
    void refuse(const std::string& id);

    /// Records the result of a started call for the retention time. Drops the response when the
    /// ledger holds too many response bytes; the call then settles as unknown.
    void finish(const std::string& id, const call_result& result, time_point now);

    /// Returns the state of an id, and fences the id unless its call has started.
    settle_result settle(const std::string& id, time_point now);

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

/// Key text that a settle request between nodes carries for an attempt, in place of an issued key.
inline std::string attempt_key(std::string_view request_id)
{
    return std::string{attempt_key_prefix}.append(request_id);
}

/// Request id in the key text of an attempt; empty when the text is an issued key.
inline std::string_view request_id_of_attempt_key(std::string_view key)
{
    return key.rfind(attempt_key_prefix, 0) == 0 ? key.substr(attempt_key_prefix.size())
                                                 : std::string_view{};
}

} // namespace chestnutstand
