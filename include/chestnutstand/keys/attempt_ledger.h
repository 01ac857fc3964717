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

/// Calls of an executor that run at most once and are identified by the request id of the caller's
/// attempt. A node that lost the connection to the executor settles the id: a call that has not
/// started is fenced and never will, so that it may be placed elsewhere or truthfully refused.
///
/// Has no mutex and does no I/O: the executor calls it in the critical section that decides about a
/// start.
class attempt_ledger {
public:
    /// Records a call that waits for a slot. False when the id is fenced or in use here; then the
    /// call must not run.
    bool admit(const std::string& id, time_point now);

    /// Commits to run a recorded call; false when it was fenced while it waited.
    bool start(const std::string& id);

    /// Forgets a recorded call that was refused before it started; it may be offered again.
    void refuse(const std::string& id);

    /// Ends a started call. Its response is kept for a while, if there is space.
    void finish(const std::string& id, const call_result& result, time_point now);

    /// What is known of an id; fences it unless it has started.
    settle_result settle(const std::string& id, time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    enum class state : std::uint8_t { queued, started, ended, fenced };

    struct entry {
        state now = state::queued;
        call_result result;
    };
    struct expiry {
        time_point due;
        std::string id;
    };

    void expire(time_point now);
    void keep_until(const std::string& id, time_point due);

    std::unordered_map<std::string, entry> entries_;
    /// Ended and fenced ids in the order in which they are forgotten.
    std::deque<expiry> expiries_;
    std::size_t response_bytes_ = 0;
};

inline constexpr std::string_view attempt_key_prefix = "attempt:";

/// What the settle call between nodes carries for an attempt in place of an issued key.
inline std::string attempt_key(std::string_view request_id)
{
    return std::string{attempt_key_prefix}.append(request_id);
}

/// The request id in such a key; empty for an issued key.
inline std::string_view request_id_of_attempt_key(std::string_view key)
{
    return key.rfind(attempt_key_prefix, 0) == 0 ? key.substr(attempt_key_prefix.size())
                                                 : std::string_view{};
}

} // namespace chestnutstand
