#pragma once

#include "chestnutstand/keys/idempotency_key.h"
#include "chestnutstand/keys/key_candidates.h"

#include <memory>
#include <optional>
#include <string>

namespace chestnutstand {

/// Settles keys whose owner cannot be reached: fences the key at every candidate and derives the
/// outcome from their states. A key that is fenced at all candidates can never run, even if the
/// owner was only paused and resumes, because only a candidate runs it and each one keeps its
/// fence. Any node may settle any key. Thread-safe and stateless.
class key_settlement : public std::enable_shared_from_this<key_settlement> {
public:
    key_settlement(std::string secret, candidate_client candidates, key_environment environment,
                   const settle_timing& timing);

    /// Settles the key of a call with the given request, or of a query, which has none. A key that
    /// was used for another request results in not_run with key_reused, never in the response to
    /// the other request. Until the deadline, queries are repeated to candidates that are running
    /// the call or do not reply; after it, the outcome is unknown with key_running or
    /// owner_unreachable, which is not final.
    void settle(const std::string& key_text, const std::optional<fingerprint>& request,
                time_point deadline, call_done done) const;

private:
    struct operation;
    using operation_ptr = std::shared_ptr<operation>;

    void query_candidates(const operation_ptr& op) const;
    void on_reply(const operation_ptr& op, std::size_t index,
                  absl::StatusOr<settle_result> reply) const;
    void finish_round(const operation_ptr& op) const;

    const std::string secret_;
    const candidate_client candidates_;
    const key_environment environment_;
    const settle_timing timing_;
};

} // namespace chestnutstand
