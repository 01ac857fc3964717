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

/// Upper bound of the executors that a key names; each one may have to be fenced.
inline constexpr std::size_t max_key_candidates = 3;

/// Content of an idempotency key. Only the owner admits it, and only the candidates run it.
struct idempotency_key {
    node_reference owner;
    std::vector<node_reference> candidates;
    /// Counts up from 1 in the order in which the owner instance issues keys.
    std::uint64_t sequence = 0;
    /// Time on the owner's clock since its start, in whole milliseconds.
    milliseconds issued{0};
    std::string service;

    friend bool operator==(const idempotency_key&, const idempotency_key&) = default;
};

/// Text of a key for callers and peers: web-safe base64 of the content and its MAC.
std::string encode(const idempotency_key& key, std::string_view secret);

/// Key of a text, or an error when the text is not exactly what encode returns for the secret.
absl::StatusOr<idempotency_key> decode(std::string_view text, std::string_view secret);

/// Digest of method, target and body. Headers are excluded, because each hop changes them.
fingerprint request_fingerprint(const http_request& request);

} // namespace chestnutstand
