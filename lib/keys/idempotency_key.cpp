#include "chestnutstand/keys/idempotency_key.h"

#include "records.pb.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace chestnutstand {
namespace {

constexpr std::size_t mac_size = 16;
/// A key of three candidates with IPv6 addresses and a long service name has about 400 characters.
constexpr std::size_t max_key_text_size = 1024;
/// Prefix of the authenticated bytes: no other use of the cluster secret yields the same MAC.
constexpr std::string_view mac_context = "chestnutstand idempotency key 1\n";

using key_mac = std::array<std::uint8_t, mac_size>;

key_mac compute_mac(std::string_view content, std::string_view secret)
{
    std::string message{mac_context};
    message += content;
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned int digest_size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
         &digest_size);
    key_mac mac{};
    std::copy_n(digest.begin(), mac_size, mac.begin());
    return mac;
}

void to_wire(const node_reference& node, wire::NodeReference& message)
{
    message.set_instance(node.instance);
    message.set_address(node.address);
    message.set_node_port(node.node_port);
}

bool is_valid(const wire::NodeReference& node)
{
    return node.instance() != 0 && !node.address().empty() && node.node_port() != 0 &&
           node.node_port() <= std::numeric_limits<std::uint16_t>::max();
}

bool is_valid(const wire::KeyContent& content)
{
    return is_valid(content.owner()) && content.sequence() != 0 && !content.service().empty() &&
           content.candidates_size() > 0 &&
           content.candidates_size() <= static_cast<int>(max_key_candidates) &&
           std::all_of(content.candidates().begin(), content.candidates().end(),
                       [](const auto& node) { return is_valid(node); });
}

node_reference from_wire(const wire::NodeReference& node)
{
    return {node.instance(), node.address(), static_cast<std::uint16_t>(node.node_port())};
}

absl::Status malformed(std::string_view detail)
{
    return absl::InvalidArgumentError("malformed idempotency key: " + std::string{detail});
}

void append_with_length(std::string& out, std::string_view part)
{
    // The length prefix makes different splits of the same bytes produce different digests.
    for (unsigned shift = 0; shift < 64; shift += 8) {
        out += static_cast<char>((static_cast<std::uint64_t>(part.size()) >> shift) & 0xffU);
    }
    out += part;
}

} // namespace

std::string encode(const idempotency_key& key, std::string_view secret)
{
    wire::KeyContent content;
    to_wire(key.owner, *content.mutable_owner());
    for (const auto& candidate : key.candidates) {
        to_wire(candidate, *content.add_candidates());
    }
    content.set_sequence(key.sequence);
    content.set_issued_ms(static_cast<std::uint64_t>(std::max(0.0, key.issued.count())));
    content.set_service(key.service);
    std::string bytes = content.SerializeAsString();
    const key_mac mac = compute_mac(bytes, secret);
    bytes.append(mac.begin(), mac.end());
    return absl::WebSafeBase64Escape(bytes);
}

absl::StatusOr<idempotency_key> decode(std::string_view text, std::string_view secret)
{
    if (text.size() > max_key_text_size) {
        return malformed("longer than 1024 characters");
    }
    std::string bytes;
    if (!absl::WebSafeBase64Unescape({text.data(), text.size()}, &bytes) ||
        absl::WebSafeBase64Escape(bytes) != text) {
        return malformed("not canonical web-safe base64 without padding");
    }
    if (bytes.size() <= mac_size) {
        return malformed("too short");
    }
    const std::string_view content_bytes{bytes.data(), bytes.size() - mac_size};
    const key_mac mac = compute_mac(content_bytes, secret);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + content_bytes.size(), mac_size) != 0) {
        return malformed("wrong authentication code");
    }
    wire::KeyContent content;
    if (!content.ParseFromArray(content_bytes.data(), static_cast<int>(content_bytes.size())) ||
        !is_valid(content)) {
        return malformed("invalid content");
    }
    idempotency_key key{from_wire(content.owner()),
                        {},
                        content.sequence(),
                        milliseconds{static_cast<double>(content.issued_ms())},
                        content.service()};
    for (const auto& candidate : content.candidates()) {
        key.candidates.push_back(from_wire(candidate));
    }
    return key;
}

fingerprint request_fingerprint(const http_request& request)
{
    std::string framed;
    framed.reserve(request.method.size() + request.target.size() + request.body.size() + 24);
    append_with_length(framed, request.method);
    append_with_length(framed, request.target);
    append_with_length(framed, request.body);
    fingerprint digest{};
    SHA256(reinterpret_cast<const unsigned char*>(framed.data()), framed.size(), digest.data());
    return digest;
}

} // namespace chestnutstand
