#pragma once

#include "chestnutstand/keys/idempotency_key.h"
#include "chestnutstand/keys/key_candidates.h"

#include <memory>
#include <optional>
#include <string>

namespace chestnutstand {

/// Settles keys whose owner cannot be reached: fences every named candidate and derives the outcome
/// from what they know. A key that is fenced everywhere can never run, even if the owner was only
/// paused, because only a candidate runs it and each holds its fence. Usable by any node;
/// thread-safe, and has no state of its own.
class key_settlement : public std::enable_shared_from_this<key_settlement> {
public:
    key_settlement(std::string secret, candidate_client candidates, key_environment environment,
                   const settle_timing& timing);

    /// Settles the key of a call with the given request, or of a query without one. A key that ran
    /// another request gives not-run with key_reused, never the other request's response. Repeats
    /// queries to candidates that run the key or do not reply until the deadline; then the
    /// outcome is unknown with key_running or owner_unreachable, which is not final.
    void settle(const std::string& key_text, const std::optional<fingerprint>& request,
                time_point deadline, call_done done) const;

private:
    struct inquiry;
    using inquiry_ptr = std::shared_ptr<inquiry>;

    void ask_all(const inquiry_ptr& asked) const;
    void on_reply(const inquiry_ptr& asked, std::size_t index,
                  absl::StatusOr<settle_result> settled) const;
    void conclude(const inquiry_ptr& asked) const;

    const std::string secret_;
    const candidate_client candidates_;
    const key_environment environment_;
    const settle_timing timing_;
};

} // namespace chestnutstand
