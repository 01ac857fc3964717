#pragma once

#include "chestnutstand/keys/key_table.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Tells an executor how to handle a keyed call that it has received.
struct execution_decision {
    enum class kind : std::uint8_t {
        run,      ///< Add the call to the admission queue; executor_keys keeps its callback.
        attached, ///< The same call is in progress here; executor_keys keeps the callback.
        answered, ///< The result is known; the executor sends it.
    };

    kind action = kind::answered;
    /// Passed to start(), refuse() and finish(). Not set when the key text was rejected.
    key_id id;
    /// Set when the action is answered.
    call_result result;
};

/// Idempotency keys of the calls that an executor runs. start() is the last check before a call
/// runs: the executor calls it in the critical section in which it commits to sending the call to
/// the upstream. A key that was refused stays refused, so that a delayed duplicate of its call
/// cannot start. Thread-safe. enqueue() and start() run no callbacks and may be called with the
/// executor's mutex held; refuse(), finish() and settle() run callbacks and must be called without
/// it.
class executor_keys {
public:
    executor_keys(std::uint64_t instance, std::string secret, const key_table_limits& limits)
        : instance_{instance}, secret_{std::move(secret)}, table_{limits}
    {
    }

    /// Records a call before it enters the admission queue, where it waits for a slot.
    execution_decision enqueue(std::string_view key_text, const fingerprint& request,
                               call_done done, time_point now);

    /// Marks a waiting call as started. Returns false when it was fenced while it waited; then the
    /// executor must drop it.
    bool start(const key_id& id);

    /// Closes a key whose call has not started, and passes not_run with the reason to the callbacks
    /// of the call. No effect on a call that has started.
    void refuse(const key_id& id, reason_code reason, time_point now);

    /// Records the result of a started call and passes it to the callbacks of the call.
    void finish(const key_id& id, call_result result, time_point now);

    /// Returns the state of a key to its owner or to a node that settles it, and fences the key if
    /// its call has not started. An error means that the state is not known and nothing changed;
    /// the query may be repeated.
    absl::StatusOr<settle_result> settle(std::string_view key_text, time_point now);

private:
    bool is_candidate(const idempotency_key& key) const;

    std::uint64_t instance_;
    std::string secret_;
    std::mutex mutex_;
    key_table table_;
};

} // namespace chestnutstand
