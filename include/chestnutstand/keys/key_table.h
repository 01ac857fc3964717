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

/// Identity of a key: no two authentic keys share both values.
struct key_id {
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

/// What a table knows of a key.
enum class key_state : std::uint8_t {
    absent,    ///< Not recorded, and it may still be admitted.
    queued,    ///< Admitted; nothing has been sent to the upstream yet.
    running,   ///< Started; the end is not known yet.
    completed, ///< Final, with the response.
    not_run,   ///< Final: refused or closed before it started.
    fenced,    ///< Final: closed by a settlement before it started.
    unknown,   ///< Final: it may have run, and no response is stored.
    expired,   ///< Not recorded any more or never admitted; it will not be admitted.
};

constexpr bool is_final(key_state state)
{
    return state != key_state::absent && state != key_state::queued && state != key_state::running;
}

struct key_table_limits {
    std::size_t bytes = std::size_t{32} << 20U;
    /// Part of the bytes that only closed keys may use, so that a full table can still close keys.
    std::size_t closing_bytes = std::size_t{4} << 20U;
    /// Bytes set aside for the response of each admitted key.
    std::size_t response_reserve = std::size_t{64} << 10U;
    std::size_t waiters_per_key = 64;
    /// Time that a final state is kept.
    milliseconds lifetime{600'000};
};

/// Callback of one caller that waits for the end of a key.
struct key_waiter {
    std::uint64_t ticket = 0;
    call_done done;
};

/// Answer of a table to a call: the call is new, waits for another one, or has a result at once.
struct key_admission {
    enum class kind : std::uint8_t { admitted, attached, answered };

    kind status = kind::answered;
    /// Identifies the waiter of an admitted or attached call.
    std::uint64_t ticket = 0;
    /// Set when the call is answered at once.
    call_result result;
};

/// Waiters that a transition has released; the caller runs them outside its critical section.
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
/// Has no mutex and does no I/O: its user calls it in the critical section that decides about a
/// start. Final states are kept for the lifetime. After that, a watermark per owner refuses all
/// sequence numbers up to the forgotten one, so that a call that was delayed for longer than the
/// lifetime cannot start a forgotten key again. A table out of space refuses and never evicts.
class key_table {
public:
    explicit key_table(const key_table_limits& limits) : limits_{limits} {}

    /// Admits a key as queued, attaches to a key in progress, or answers.
    key_admission admit(const key_id& id, const fingerprint& request, call_done done,
                        time_point now);

    /// Attaches to a key in progress whatever its request; no ticket when it is not in progress or
    /// has too many waiters.
    std::optional<std::uint64_t> attach(const key_id& id, call_done done);

    /// Starts a queued key. False when it was closed in the meantime; then it must not run.
    bool start(const key_id& id);

    /// Ends a key in progress with a final result.
    released_waiters finish(const key_id& id, call_result result, time_point now);

    /// Closes a key that has not started. Returns its state afterwards, which is a state in
    /// progress or final, or absent when there was no space to record the closing.
    key_state close(const key_id& id, key_state as, reason_code reason, time_point now,
                    released_waiters& released);

    /// Removes the callback of a caller that stops waiting.
    std::optional<call_done> detach(const key_id& id, std::uint64_t ticket);

    key_state state(const key_id& id) const;

    /// Result of a key in its present state; unknown with key_running while it is in progress.
    call_result result(const key_id& id) const;

    /// Request that a key was admitted with, if any.
    std::optional<fingerprint> request(const key_id& id) const;

    /// Forgets final states that are older than the lifetime.
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

    static call_result result_of(const entry& known);
    static std::size_t closed_bytes();
    key_admission refuse_full(const key_id& id, time_point now);
    key_admission answer(entry& known, const fingerprint& request, call_done done);
    bool has_space(std::size_t bytes, std::size_t limit) const;
    void resize(entry& known, std::size_t bytes);
    void store_result(entry& known, call_result& result);
    released_waiters end(const key_id& id, entry& known, call_result result, time_point now);

    key_table_limits limits_;
    entry_map entries_;
    /// Final entries in the order in which they became final.
    std::deque<expiry> expiries_;
    /// Highest forgotten sequence number of each owner instance.
    std::unordered_map<std::uint64_t, std::uint64_t> forgotten_;
    std::size_t bytes_ = 0;
    std::uint64_t next_ticket_ = 1;
};

} // namespace chestnutstand
