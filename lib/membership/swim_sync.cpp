#include "chestnutstand/membership/swim.h"

#include <algorithm>
#include <bit>

namespace chestnutstand {

namespace {

constexpr std::size_t members_per_bucket = 16;
constexpr std::size_t max_buckets = 4'096;
// Exchanges with more members than this are not passed on by gossip: the others learn them by
// exchanges of their own, and the queue stays free for news.
constexpr std::size_t bulk_size = 32;

std::size_t total_bytes(const std::vector<std::string>& items)
{
    std::size_t bytes = 0;
    for (const std::string& item : items) {
        bytes += item.size();
    }
    return bytes;
}

} // namespace

std::uint64_t swim::stable_digest() const
{
    return last_run_ - table_changed_ >= options_.digest_stable_after ? digest() : 0;
}

void swim::compare_digests(const gossip_message& message, time_point now)
{
    const std::uint64_t own = stable_digest();
    if (own != 0 && message.table_digest != 0 && own != message.table_digest) {
        request_sync(message.sender.node, now);
    }
}

void swim::request_sync(const node_reference& peer, time_point now)
{
    if (now < next_sync_) {
        return;
    }
    next_sync_ = now + options_.sync_interval;
    output_.sync_peers.push_back(peer);
}

std::vector<std::uint64_t> swim::bucket_digests(std::size_t count) const
{
    std::vector<std::uint64_t> buckets(count);
    const auto add = [&](const member& state) {
        buckets[state.node.instance % count] ^= member_table::digest_of(state);
    };
    add(self_);
    for (const std::uint64_t instance : table_.live()) {
        add(*table_.find(instance));
    }
    return buckets;
}

std::vector<std::string> swim::sync_request() const
{
    const std::size_t wanted = (table_.live().size() + 1) / members_per_bucket;
    const std::size_t count = std::bit_ceil(std::clamp<std::size_t>(wanted, 1, max_buckets));
    return encode(sync_content{{self_}, bucket_digests(count), options_.cluster});
}

std::vector<std::string> swim::handle_sync(const std::vector<std::string>& items, time_point now)
{
    const sync_content theirs = decode_sync(items);
    if (theirs.cluster != options_.cluster) {
        return {};
    }
    const auto source =
        theirs.members.size() > bulk_size ? claim_source::bulk_sync : claim_source::sync;
    for (const member& state : theirs.members) {
        apply(state, source, now);
    }
    if (theirs.digests.empty() || theirs.digests.size() > max_buckets) {
        return {};
    }
    const std::size_t count = theirs.digests.size();
    sync_content reply{{}, bucket_digests(count), options_.cluster};
    for (const member& state : members()) {
        const std::size_t bucket = state.node.instance % count;
        if (theirs.digests[bucket] != reply.digests[bucket]) {
            reply.members.push_back(state);
        }
    }
    return encode(reply);
}

std::vector<std::string> swim::finish_sync(const std::vector<std::string>& reply, time_point now)
{
    const sync_content theirs = decode_sync(reply);
    if (theirs.cluster != options_.cluster || theirs.digests.empty() ||
        theirs.digests.size() > max_buckets) {
        return {};
    }
    const std::size_t count = theirs.digests.size();
    const auto own = bucket_digests(count);
    std::unordered_map<std::uint64_t, const member*> received;
    for (const member& state : theirs.members) {
        received.emplace(state.node.instance, &state);
    }
    sync_content missing;
    missing.cluster = options_.cluster;
    for (const member& state : members()) {
        const auto found = received.find(state.node.instance);
        const bool lacks =
            found == received.end() ? is_live(state) : supersedes(state, *found->second);
        if (lacks &&
            own[state.node.instance % count] != theirs.digests[state.node.instance % count]) {
            missing.members.push_back(state);
        }
    }
    const auto source =
        theirs.members.size() > bulk_size ? claim_source::bulk_sync : claim_source::sync;
    for (const member& state : theirs.members) {
        apply(state, source, now);
    }
    auto second = encode(missing);
    const double bytes = static_cast<double>(total_bytes(reply) + total_bytes(second));
    next_sync_ =
        std::max(next_sync_, now + milliseconds{bytes / options_.sync_bytes_per_s * 1000.0});
    return second;
}

} // namespace chestnutstand
