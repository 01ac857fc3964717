#pragma once

#include "chestnutstand/keys/key_table.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace chestnutstand {

/// What an executor does with a keyed call that it has received.
struct execution_decision {
    enum class kind : std::uint8_t {
        run,      ///< Offer the call to the admission queue; its callback is kept here.
        attached, ///< The same call is in progress here; its callback is kept here.
        answered, ///< Send the result; nothing else is to be done.
    };

    kind action = kind::answered;
    /// Names the key in the later calls.
    key_id id;
    /// Set when the call is answered at once.
    call_result result;
};

/// Keys at the executor. The last check before a start is start(), which the executor calls in the
/// critical section in which it commits to send the call to the upstream. Every key that is
/// refused here stays refused, so that a delayed second copy cannot start. Thread-safe by its own
/// mutex. enqueue() and start() run no callbacks and may be called with the executor's mutex held;
/// refuse(), finish() and settle() run callbacks and must be called without it.
class executor_keys {
public:
    executor_keys(std::uint64_t instance, std::string secret, const key_table_limits& limits)
        : instance_{instance}, secret_{std::move(secret)}, table_{limits}
    {
    }

    /// Records a call that waits for a slot, before it enters the admission queue.
    execution_decision enqueue(std::string_view key_text, const fingerprint& request,
                               call_done done, time_point now);

    /// Commits to run a recorded call. False when it was fenced while it waited; then the caller
    /// drops it.
    bool start(const key_id& id);

    /// Closes a recorded call that has not started and answers its callbacks with the reason. No
    /// effect on a call that has started.
    void refuse(const key_id& id, reason_code reason, time_point now);

    /// Ends a started call and answers its callbacks.
    void finish(const key_id& id, call_result result, time_point now);

    /// State of a key for its owner or a settling node; fences a key that has not started. An error
    /// means that nothing is known or changed, and the query may be repeated.
    absl::StatusOr<settle_result> settle(std::string_view key_text, time_point now);

private:
    bool is_candidate(const idempotency_key& key) const;

    std::uint64_t instance_;
    std::string secret_;
    std::mutex mutex_;
    key_table table_;
};

} // namespace chestnutstand
