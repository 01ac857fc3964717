#pragma once

#include "chestnutstand/membership/member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

enum class gossip_kind : std::uint8_t { ping, ack, ping_request, config_hint, push };

/// Decoded gossip datagram; GossipMessage in gossip.proto describes the fields.
struct gossip_message {
    gossip_kind kind = gossip_kind::ping;
    std::uint64_t sequence = 0;
    member sender;
    std::optional<member> target;
    std::vector<member> updates;
    std::uint64_t config_next_offset = 0;
    std::uint64_t target_instance = 0;
    std::uint64_t table_digest = 0;
    std::uint64_t cluster = 0;
    std::uint64_t evacuation_digest = 0;
};

/// Content of one message of a push-pull exchange.
struct sync_content {
    std::vector<member> members;
    /// One digest per bucket of instances; empty when the message only transfers members.
    std::vector<std::uint64_t> digests;
    std::uint64_t cluster = 0;
};

std::string encode(const gossip_message& message);

/// Returns nothing when the bytes are not a valid message. Invalid updates are skipped.
std::optional<gossip_message> decode_gossip(std::string_view bytes);

/// Upper bound of the bytes that the update adds to an encoded message.
std::size_t encoded_size(const member& update);

std::vector<std::string> encode(const sync_content& content);
/// Skips items that are not valid.
sync_content decode_sync(const std::vector<std::string>& items);

/// Encodes the address of a node as a record of the member directory.
std::string encode_join_record(const member& self);
/// Returns nothing when the payload is not a valid record.
std::optional<member> decode_join_record(const std::string& payload);

} // namespace chestnutstand
