#include "chestnutstand/membership/gossip_codec.h"

#include "gossip.pb.h"
#include "records.pb.h"

#include <limits>
#include <utility>

namespace chestnutstand {

namespace {

// One tag byte and two length bytes per element of a repeated field; elements are below 16 KiB.
constexpr std::size_t update_framing_bytes = 3;

void to_wire(const member& from, wire::MemberState& to)
{
    to.set_instance(from.node.instance);
    to.set_incarnation(from.incarnation);
    to.set_liveness(static_cast<wire::Liveness>(from.state));
    to.set_address(from.node.address);
    to.set_gossip_port(from.gossip_port);
    to.set_node_port(from.node.node_port);
    to.set_data_centre(from.data_centre);
    to.set_service(from.service);
    to.set_draining(from.draining);
    to.set_slots(from.slots);
}

bool is_valid_port(std::uint32_t port)
{
    return port <= std::numeric_limits<std::uint16_t>::max();
}

std::optional<member> from_wire(const wire::MemberState& from)
{
    if (from.instance() == 0 || from.address().empty() || !is_valid_port(from.gossip_port()) ||
        !is_valid_port(from.node_port()) || !wire::Liveness_IsValid(from.liveness())) {
        return std::nullopt;
    }
    member to;
    to.node = {from.instance(), from.address(), static_cast<std::uint16_t>(from.node_port())};
    to.gossip_port = static_cast<std::uint16_t>(from.gossip_port());
    to.incarnation = from.incarnation();
    to.state = static_cast<liveness>(from.liveness());
    to.data_centre = from.data_centre();
    to.service = from.service();
    to.draining = from.draining();
    to.slots = from.slots();
    return to;
}

} // namespace

std::string encode(const gossip_message& message)
{
    wire::GossipMessage out;
    out.set_kind(static_cast<wire::GossipKind>(message.kind));
    out.set_sequence(message.sequence);
    to_wire(message.sender, *out.mutable_sender());
    if (message.target) {
        to_wire(*message.target, *out.mutable_target());
    }
    for (const member& update : message.updates) {
        to_wire(update, *out.add_updates());
    }
    out.set_config_next_offset(message.config_next_offset);
    out.set_target_instance(message.target_instance);
    out.set_table_digest(message.table_digest);
    out.set_cluster(message.cluster);
    out.set_evacuation_digest(message.evacuation_digest);
    return out.SerializeAsString();
}

std::optional<gossip_message> decode_gossip(std::string_view bytes)
{
    wire::GossipMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !wire::GossipKind_IsValid(in.kind())) {
        return std::nullopt;
    }
    auto sender = from_wire(in.sender());
    if (!sender) {
        return std::nullopt;
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(in.kind());
    message.sequence = in.sequence();
    message.sender = *std::move(sender);
    if (in.has_target()) {
        message.target = from_wire(in.target());
    }
    for (const auto& update : in.updates()) {
        if (auto decoded = from_wire(update)) {
            message.updates.push_back(*std::move(decoded));
        }
    }
    message.config_next_offset = in.config_next_offset();
    message.target_instance = in.target_instance();
    message.table_digest = in.table_digest();
    message.cluster = in.cluster();
    message.evacuation_digest = in.evacuation_digest();
    return message;
}

std::size_t encoded_size(const member& update)
{
    wire::MemberState state;
    to_wire(update, state);
    return state.ByteSizeLong() + update_framing_bytes;
}

std::vector<std::string> encode(const sync_content& content)
{
    std::vector<std::string> items;
    items.reserve(content.members.size() + 2);
    if (content.cluster != 0) {
        wire::SyncItem item;
        item.set_cluster(content.cluster);
        items.push_back(item.SerializeAsString());
    }
    if (!content.digests.empty()) {
        wire::SyncItem item;
        auto& buckets = *item.mutable_digest()->mutable_buckets();
        buckets.Add(content.digests.begin(), content.digests.end());
        items.push_back(item.SerializeAsString());
    }
    for (const member& state : content.members) {
        wire::SyncItem item;
        to_wire(state, *item.mutable_state());
        items.push_back(item.SerializeAsString());
    }
    return items;
}

sync_content decode_sync(const std::vector<std::string>& items)
{
    sync_content content;
    for (const std::string& bytes : items) {
        wire::SyncItem item;
        if (!item.ParseFromString(bytes)) {
            continue;
        }
        if (item.has_digest()) {
            const auto& buckets = item.digest().buckets();
            content.digests.assign(buckets.begin(), buckets.end());
        }
        else if (item.has_cluster()) {
            content.cluster = item.cluster();
        }
        else if (auto state = from_wire(item.state())) {
            content.members.push_back(*std::move(state));
        }
    }
    return content;
}

std::string encode_join_record(const member& self)
{
    wire::JoinRecord record;
    record.set_instance(self.node.instance);
    record.set_address(self.node.address);
    record.set_gossip_port(self.gossip_port);
    record.set_node_port(self.node.node_port);
    record.set_data_centre(self.data_centre);
    return record.SerializeAsString();
}

std::optional<member> decode_join_record(const std::string& payload)
{
    wire::JoinRecord record;
    if (!record.ParseFromString(payload) || record.instance() == 0 || record.address().empty() ||
        !is_valid_port(record.gossip_port()) || !is_valid_port(record.node_port())) {
        return std::nullopt;
    }
    member joined;
    joined.node = {record.instance(), record.address(),
                   static_cast<std::uint16_t>(record.node_port())};
    joined.gossip_port = static_cast<std::uint16_t>(record.gossip_port());
    joined.data_centre = record.data_centre();
    return joined;
}

} // namespace chestnutstand
