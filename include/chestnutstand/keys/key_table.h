#pragma once

#include "chestnutstand/keys/idempotency_key.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Identity of a key. No two authentic keys have the same owner instance and sequence number.
struct key_id {
    /// Instance id of the owner.
    std::uint64_t owner = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const key_id&, const key_id&) = default;
};

inline key_id id_of(const idempotency_key& key)
{
    return {key.owner.instance, key.sequence};
}

struct key_id_hash {
    std::size_t operator()(const key_id& id) const
    {
        // Instance ids are random; the factor spreads consecutive sequence numbers.
        return static_cast<std::size_t>(id.owner ^ (id.sequence * 0x9e3779b97f4a7c15ULL));
    }
};

/// State of a key in a table.
enum class key_state : std::uint8_t {
    absent,    ///< Not recorded, and it may still be admitted.
    queued,    ///< Admitted; the call has not started.
    running,   ///< Started; the result is not known yet.
    completed, ///< Final: the response is stored.
    not_run,   ///< Final: refused or closed before the call started.
    fenced,    ///< Final: closed by a settlement before the call started.
    unknown,   ///< Final: the call may have run, and no response is stored.
    expired,   ///< Final: no record, and blocked by the watermark of its owner instance.
};

constexpr bool is_final(key_state state)
{
    return state != key_state::absent && state != key_state::queued && state != key_state::running;
}

struct key_table_limits {
    std::size_t bytes = std::size_t{32} << 20U;
    /// Part of the bytes that is reserved for records of closed keys, so that a table with no space
    /// for new calls can still close keys.
    std::size_t closing_bytes = std::size_t{4} << 20U;
    /// Bytes reserved for the response of each admitted key.
    std::size_t response_reserve = std::size_t{64} << 10U;
    std::size_t waiters_per_key = 64;
    /// How long a final state is kept.
    milliseconds lifetime{600'000};
};

/// Callback of one caller that waits for the result of a key.
struct key_waiter {
    std::uint64_t ticket = 0;
    call_done done;
};

/// Result of admitting a call: it is new, waits for the result of a call in progress, or has a
/// result already.
struct key_admission {
    enum class kind : std::uint8_t { admitted, attached, answered };

    kind status = kind::answered;
    /// Identifies the waiter of an admitted or attached call.
    std::uint64_t ticket = 0;
    /// Set when the status is answered.
    call_result result;
};

/// Waiters of a key that has become final. The user of the table calls notify() outside its
/// critical section.
struct released_waiters {
    std::vector<key_waiter> waiters;
    call_result result;

    void notify() const
    {
        for (const auto& waiter : waiters) {
            waiter.done(result);
        }
    }
};

/// State machine of the keys that a process has admitted or closed; used by owners and executors.
/// Not thread-safe and does no I/O: its user calls it in the critical section in which it decides
/// whether a call starts. Final states are kept for the lifetime. Afterwards, a watermark per owner
/// instance blocks all sequence numbers up to the highest removed one, so that a call that was
/// delayed for longer than the lifetime cannot run its key a second time. A full table refuses new
/// keys and never evicts records.
class key_table {
public:
    explicit key_table(const key_table_limits& limits) : limits_{limits} {}

    /// Records a new key as queued, attaches to a key in progress, or returns the result of a key
    /// that is final or cannot be admitted. The callback is kept unless the status is answered.
    key_admission admit(const key_id& id, const fingerprint& request, call_done done,
                        time_point now);

    /// Attaches to a key in progress without comparing the request. Returns the ticket of the
    /// waiter, or nothing when the key is not in progress or has too many waiters.
    std::optional<std::uint64_t> attach(const key_id& id, call_done done);

    /// Marks a queued key as running. Returns false when the key is not queued; then its call must
    /// not run.
    bool start(const key_id& id);

    /// Makes a key in progress final with the result of its call.
    released_waiters finish(const key_id& id, call_result result, time_point now);

    /// Closes a key that has not started, with the given final state. Returns the state of the key
    /// after the call: running, a final state, or absent when there was no space for the record.
    key_state close(const key_id& id, key_state final_state, reason_code reason, time_point now,
                    released_waiters& released);

    /// Removes and returns the callback of a caller that stops waiting. Returns nothing when the
    /// callback was already released.
    std::optional<call_done> detach(const key_id& id, std::uint64_t ticket);

    key_state state(const key_id& id) const;

    /// Returns the result of a key in its present state: unknown with key_running while the key is
    /// in progress, unknown with key_expired when it has no record.
    call_result result(const key_id& id) const;

    /// Returns the request that a key was admitted with, if any.
    std::optional<fingerprint> request(const key_id& id) const;

    /// Removes final states that are older than the lifetime.
    void expire(time_point now);

    std::size_t bytes_used() const { return bytes_; }
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        key_state state = key_state::queued;
        reason_code reason = reason_code::none;
        std::optional<fingerprint> request;
        http_response response;
        std::vector<key_waiter> waiters;
        std::size_t bytes = 0;
    };
    struct expiry {
        time_point due;
        key_id id;
    };
    using entry_map = std::unordered_map<key_id, entry, key_id_hash>;

    static call_result result_of(const entry& record);
    /// Size of the record of a key without a response.
    static std::size_t base_record_bytes();
    key_admission refuse_when_full(const key_id& id, time_point now);
    key_admission admit_recorded(entry& record, const fingerprint& request, call_done done);
    bool has_space(std::size_t bytes, std::size_t limit) const;
    void resize(entry& record, std::size_t bytes);
    void store_result(entry& record, call_result& result);
    released_waiters make_final(const key_id& id, entry& record, call_result result,
                                time_point now);

    key_table_limits limits_;
    entry_map entries_;
    /// Final entries in the order in which they became final.
    std::deque<expiry> expiries_;
    /// Highest sequence number of a removed record, by owner instance.
    std::unordered_map<std::uint64_t, std::uint64_t> watermarks_;
    std::size_t bytes_ = 0;
    std::uint64_t next_ticket_ = 1;
};

} // namespace chestnutstand
