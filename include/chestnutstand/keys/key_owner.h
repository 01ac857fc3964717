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

/// How an owner selects executors.
struct candidate_selection {
    /// Executors for a new key of a service, at most max_key_candidates.
    std::function<std::vector<node_reference>(const std::string& service)> choose;
    /// The given candidates in the order of preference; those that may not be tried are left out.
    std::function<std::vector<node_reference>(const service_call& call,
                                              std::vector<node_reference>)>
        rank;
};

/// The node that issued a key: admits it once and runs it on its candidates, one at a time. The
/// next candidate is tried only with proof that the last one has not started the call and never
/// will: a refusal, a failed connection, or a fence. No step relies on elapsed time, so a paused
/// owner may resume anywhere. Thread-safe; callbacks run outside its mutex.
class key_owner : public std::enable_shared_from_this<key_owner> {
public:
    key_owner(key_owner_options options, candidate_client candidates, candidate_selection selection,
              key_environment environment);

    /// New keys of a service, or an error when it has no candidates.
    absl::StatusOr<std::vector<std::string>> issue(const std::string& service, std::size_t count);

    /// Runs a keyed call once, attaches to it, or returns its stored result. When the deadline
    /// passes first, the caller gets unknown with key_running, and the run goes on.
    void run(const service_call& call, const call_done& done);

    /// Result of a key, which is closed as not-run if it has not started. Waits for a running key
    /// until the deadline. Never starts a call.
    void query(std::string_view key_text, time_point deadline, const call_done& done);

    /// Ends all repeated queries to executors; keys in progress stay without a result.
    void stop();

    std::size_t bytes_used() const;

private:
    struct execution;
    using execution_ptr = std::shared_ptr<execution>;

    bool is_too_old(const idempotency_key& key, time_point now) const;
    key_admission admit(const idempotency_key& key, const service_call& call, call_done done,
                        time_point now);
    void answer_at_deadline(const key_id& id, std::uint64_t ticket, milliseconds delay);
    void try_next(const execution_ptr& run);
    void on_executed(const execution_ptr& run, const node_reference& target, call_result result);
    void settle(const execution_ptr& run, const node_reference& target);
    void settle_later(const execution_ptr& run, const node_reference& target);
    void on_settled(const execution_ptr& run, const node_reference& target,
                    absl::StatusOr<settle_result> settled);
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
