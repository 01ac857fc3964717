#pragma once

#include "chestnutstand/keys/key_candidates.h"
#include "chestnutstand/keys/key_table.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

struct key_owner_options {
    node_reference self;
    std::string secret;
    key_table_limits limits;
    settle_timing timing;
};

/// Functions with which an owner selects executors.
struct candidate_selection {
    /// Returns the executors for a new key of a service, at most max_key_candidates.
    std::function<std::vector<node_reference>(const std::string& service)> choose;
    /// Returns the candidates in order of preference, without those that must not be tried.
    std::function<std::vector<node_reference>(const service_call& call,
                                              std::vector<node_reference>)>
        rank;
};

/// The node that issues keys. Admits the call of each key once and sends it to the candidates, one
/// at a time. Tries the next candidate only after proof that the previous one has not started the
/// call and never will: a refusal, a failed connection, or a fence. No step relies on elapsed time,
/// so the process may be paused and resumed at any point. Thread-safe; callbacks run outside its
/// mutex.
class key_owner : public std::enable_shared_from_this<key_owner> {
public:
    key_owner(key_owner_options options, candidate_client candidates, candidate_selection selection,
              key_environment environment);

    /// Issues new keys for a service. Returns an Unavailable error when the service has no
    /// candidates.
    absl::StatusOr<std::vector<std::string>> issue(const std::string& service, std::size_t count);

    /// Runs a keyed call, or attaches to it if it is running, or returns its stored result. When
    /// the deadline of this caller passes first, the result is unknown with key_running, and the
    /// call keeps running.
    void run(const service_call& call, const call_done& done);

    /// Returns the result of a key, and closes the key as not run if its call has not started.
    /// Waits for a running call until the deadline. Never starts a call.
    void query(std::string_view key_text, time_point deadline, const call_done& done);

    /// Stops repeating queries to executors. Callers of keys in progress get no final result.
    void stop();

    std::size_t bytes_used() const;

private:
    struct execution;
    using execution_ptr = std::shared_ptr<execution>;

    bool is_too_old(const idempotency_key& key, time_point now) const;
    key_admission admit(const idempotency_key& key, const service_call& call, call_done done,
                        time_point now);
    void answer_at_deadline(const key_id& id, std::uint64_t ticket, milliseconds delay);
    void try_next_candidate(const execution_ptr& run);
    void on_executed(const execution_ptr& run, const node_reference& target, call_result result);
    void settle(const execution_ptr& run, const node_reference& target);
    void settle_later(const execution_ptr& run, const node_reference& target);
    void on_settled(const execution_ptr& run, const node_reference& target,
                    absl::StatusOr<settle_result> reply);
    void finish(const execution_ptr& run, call_result result);

    const key_owner_options options_;
    const candidate_client candidates_;
    const candidate_selection selection_;
    const key_environment environment_;
    const time_point started_;
    mutable std::mutex mutex_;
    key_table table_;
    std::uint64_t next_sequence_ = 1;
    bool stopping_ = false;
};

} // namespace chestnutstand
