#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/call.h"
#include "chestnutstand/transport/peer_client.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Maximum number of candidates in a key. Settling a key may have to fence every one of them.
inline constexpr std::size_t max_key_candidates = 3;

/// Content of an idempotency key. Only the owner admits calls with the key, and only the candidates
/// run them.
struct idempotency_key {
    node_reference owner;
    std::vector<node_reference> candidates;
    /// Number of the key among those that the owner instance has issued, starting at 1.
    std::uint64_t sequence = 0;
    /// Time of issue since the start of the owner, by its clock, in whole milliseconds.
    milliseconds issued{0};
    std::string service;

    friend bool operator==(const idempotency_key&, const idempotency_key&) = default;
};

/// Returns the text of a key for callers and peers: web-safe base64 of the content and its MAC.
std::string encode(const idempotency_key& key, std::string_view secret);

/// Returns the key of a text, or an InvalidArgument error unless the text is exactly what encode()
/// returns with the same secret.
absl::StatusOr<idempotency_key> decode(std::string_view text, std::string_view secret);

/// Returns a digest of method, target and body. Headers are left out because each hop changes them.
fingerprint request_fingerprint(const http_request& request);

} // namespace chestnutstand
