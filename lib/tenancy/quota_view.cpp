#include "chestnutstand/tenancy/quota_view.h"

#include "chestnutstand/membership/member_order.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <set>
#include <string>

namespace chestnutstand {
namespace {

/// Time after the start, a pause or a silence in which gossip brings the member table to a node.
constexpr milliseconds settle_time{3'000};
/// Time after the start in which all nodes of the member directory count as known: a node that was
/// started behind a partition does not know the other side otherwise. Partitions last minutes;
/// later, addresses of VMs that are gone for good would lower the share.
constexpr milliseconds directory_use{300'000};
/// A member of a cluster receives messages several times a second. After this silence it counts as
/// cut off, before other members declare it dead.
constexpr milliseconds max_silence{2'000};
/// After a partition has healed, the views of the two sides differ for some seconds. The owner of
/// one side grants the share of its side for that long, as the owner of the other may do the same.
constexpr milliseconds share_rise_delay{10'000};
/// Members that are lost within this time of each other are taken to be on one side of a partition.
constexpr milliseconds loss_group_span{15'000};
/// From the probe of a member that does not answer to its death, plus a margin.
constexpr milliseconds detection_time{4'000};
constexpr milliseconds probe_period{1'000};
constexpr milliseconds max_loss_delay{30'000};

/// Covers two changes of the owner of which not all members have heard.
constexpr std::size_t max_predecessors = 2;

/// Weight of a member in the rendezvous hashing of a tenant. All nodes have to agree on it, so it
/// must not depend on the platform.
std::uint64_t weight_of(std::string_view tenant, std::uint64_t instance)
{
    std::string input{tenant};
    constexpr unsigned bits_per_byte = 8;
    for (unsigned byte = 0; byte < sizeof(instance); ++byte) {
        input.push_back(static_cast<char>((instance >> (bits_per_byte * byte)) & 0xffU));
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
    std::uint64_t weight = 0;
    for (unsigned byte = 0; byte < sizeof(weight); ++byte) {
        weight = (weight << bits_per_byte) | digest.at(byte);
    }
    return weight;
}

} // namespace

/// A partition that cuts off m of N members takes the smaller side about N / m probe periods to
/// notice. A single member that is cut off stops to grant for its silence before others declare it
/// dead, and needs no delay.
milliseconds quota_view::loss_delay(const lost_member& lost_owner) const
{
    std::size_t group = 0;
    for (const lost_member& other : lost) {
        const milliseconds distance = other.since > lost_owner.since
                                          ? other.since - lost_owner.since
                                          : lost_owner.since - other.since;
        group += distance <= loss_group_span ? 1U : 0U;
    }
    group += static_cast<std::size_t>(
        std::count_if(live.begin(), live.end(), [](const auto& member) { return member.suspect; }));
    if (group <= 1) {
        return milliseconds{0};
    }
    return detection_time + std::min(max_loss_delay, probe_period * (static_cast<double>(known) /
                                                                     static_cast<double>(group)));
}

quota_view::choice quota_view::choose(const std::string& tenant) const
{
    const std::lock_guard lock{cache_->mutex};
    const auto found = cache_->choices.find(tenant);
    if (found != cache_->choices.end()) {
        return found->second;
    }
    return cache_->choices.emplace(tenant, compute_choice(tenant)).first->second;
}

quota_view::choice quota_view::compute_choice(const std::string& tenant) const
{
    std::vector<std::pair<std::uint64_t, const live_member*>> ranking;
    ranking.reserve(live.size());
    for (const live_member& candidate : live) {
        ranking.emplace_back(weight_of(tenant, candidate.node.instance), &candidate);
    }
    std::sort(ranking.rbegin(), ranking.rend());
    choice chosen;
    std::uint64_t owner_weight = 0;
    // Draining members of higher weight were owners until their drain; a new owner has displaced
    // the member of the next lower weight.
    for (const auto& [weight, candidate] : ranking) {
        if (!chosen.owner && !candidate->draining) {
            chosen.owner = candidate->node;
            owner_weight = weight;
            continue;
        }
        const bool stands_in = chosen.owner && !chosen.stand_in && !candidate->draining;
        if (stands_in) {
            chosen.stand_in = candidate->node;
        }
        if (stands_in || chosen.predecessors.size() < max_predecessors) {
            chosen.predecessors.push_back(candidate->node);
        }
    }
    for (const lost_member& candidate : lost) {
        if (chosen.owner && weight_of(tenant, candidate.instance) > owner_weight) {
            chosen.earliest_grant =
                std::max(chosen.earliest_grant, candidate.since + loss_delay(candidate));
        }
    }
    return chosen;
}

std::shared_ptr<const quota_view> quota_view_tracker::update(const std::vector<member>& members,
                                                             milliseconds silence,
                                                             std::size_t recorded, time_point now)
{
    auto view = std::make_shared<quota_view>();
    view->self = self_;
    view->updated = now;
    // A process at the address of another one has replaced it.
    std::set<std::pair<std::string, std::uint16_t>> alive_addresses;
    for (const member& known : members) {
        if (known.state == liveness::alive) {
            alive_addresses.emplace(known.node.address, known.gossip_port);
        }
    }
    // Counted by address: a process and the one that it has replaced are one member.
    std::set<std::pair<std::string, std::uint16_t>> seen;
    std::set<std::pair<std::string, std::uint16_t>> known_addresses;
    const auto is_replaced = [&](const member& known) {
        return known.state != liveness::alive &&
               alive_addresses.count({known.node.address, known.gossip_port}) != 0U;
    };
    std::vector<std::pair<std::uint64_t, bool>> live;
    std::erase_if(returned_,
                  [now](const auto& entry) { return entry.second + share_rise_delay < now; });
    for (const member& known : members) {
        if (!is_live(known) || is_replaced(known)) {
            continue;
        }
        const bool suspect = known.state == liveness::suspect && known.node.instance != self_;
        view->live.push_back({known.node, known.draining, suspect});
        live.emplace_back(known.node.instance, known.draining);
        known_addresses.emplace(known.node.address, known.gossip_port);
        if (lost_since_.count(known.node.instance) != 0U) {
            returned_[known.node.instance] = now;
        }
        if (!suspect && returned_.count(known.node.instance) == 0U) {
            seen.emplace(known.node.address, known.gossip_port);
        }
    }
    std::unordered_map<std::uint64_t, time_point> lost_since;
    for (const member& known : members) {
        if (known.state != liveness::dead || is_replaced(known)) {
            continue;
        }
        const auto found = lost_since_.find(known.node.instance);
        const time_point since = found == lost_since_.end() ? now : found->second;
        lost_since.emplace(known.node.instance, since);
        view->lost.push_back({known.node.instance, since});
        known_addresses.emplace(known.node.address, known.gossip_port);
    }
    lost_since_ = std::move(lost_since);
    std::sort(live.begin(), live.end());
    if (live != live_) {
        live_ = std::move(live);
        changed_ = now;
    }
    view->changed = changed_;
    view->seen = static_cast<std::uint32_t>(seen.size());
    view->known = static_cast<std::uint32_t>(
        std::max(known_addresses.size(), now - started_ < directory_use ? recorded : 0));
    // After a pause of the process or a silence, the view may lack what the others have agreed on.
    const bool alone = known_addresses.size() <= 1 && recorded <= 1;
    const bool paused = last_ && now - last_->updated > max_quota_view_age;
    if (paused || (!alone && silence > max_silence)) {
        settling_since_ = now;
    }
    view->settled = now - settling_since_ >= settle_time;
    // The delay after a loss depends on the suspects as well.
    if (last_ && last_->live == view->live && last_->lost == view->lost) {
        view->cache_ = last_->cache_;
    }
    last_ = view;
    return view;
}

} // namespace chestnutstand
