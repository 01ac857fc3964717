// How a node finds the others and keeps its record in the member directory.

#include "membership_impl.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds longest_join_interval{1'500};
// A member of the cluster can wait for the log; 7,400 of them must not load it while it recovers.
constexpr milliseconds longest_joined_interval{120'000};
constexpr double join_backoff = 1.5;
constexpr milliseconds refresh_interval{300'000};
// Two refresh periods: a record is stale once a refresh has been missed.
constexpr milliseconds record_freshness{600'000};
constexpr std::size_t refreshers_per_data_centre = 2;
constexpr std::size_t contacts_per_round = 3;
constexpr std::size_t contacts_per_refresh = 20;

} // namespace

void membership::impl::join_round()
{
    if (protocol_->self().state == liveness::left) {
        return;
    }
    const auto& live = protocol_->table().live();
    if (live.empty()) {
        for (const seed_address& seed : options_.seeds) {
            protocol_->contact(seed.address, seed.gossip_port);
        }
    }
    else if (!synced_) {
        start_sync(protocol_->table().random_live(1, 0, random_).front()->node);
    }
    flush();
    if (!live.empty() && append_complete_ && read_after_append_) {
        // Only the exchange with a peer is missing.
        schedule_join_round();
        return;
    }
    if (append_complete_ || directory_->sufficient_record_count()) {
        read_directory();
        return;
    }
    // Of two nodes that start together, the one that adds its record later reads both.
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.append_complete_ = self.append_complete_ || status.ok();
                           self.refreshing_ = self.refreshing_ && !status.ok();
                           self.read_directory();
                       }));
}

void membership::impl::read_directory()
{
    directory_->refresh(
        guarded([](impl& self, const absl::Status& status) { self.on_join_records(status); }));
}

void membership::impl::on_join_records(const absl::Status& status)
{
    if (status.ok() != directory_reachable_) {
        directory_reachable_ = status.ok();
        log_event(log_level::warning,
                  directory_reachable_ ? "member directory is reachable"
                                       : "member directory is unreachable",
                  {{"status", status.ToString()}});
    }
    const time_point now = ms_clock::now();
    if (status.ok()) {
        directory_->purge(now, record_freshness * 6);
        contact_recorded(protocol_->table().live().empty() ? contacts_per_round
                                                           : contacts_per_refresh);
        read_after_append_ = append_complete_;
        append_when_needed(now);
    }
    schedule_join_round();
}

void membership::impl::schedule_join_round()
{
    const bool was_settled = settled();
    milliseconds delay = join_interval_;
    if (was_settled) {
        join_interval_ = initial_join_interval;
        std::uniform_real_distribution<double> jitter{0.9, 1.1};
        delay = refresh_interval * jitter(random_);
    }
    else {
        join_interval_ = std::min(join_interval_ * join_backoff,
                                  synced_ ? longest_joined_interval : longest_join_interval);
    }
    loop_.post_after(delay,
                     guarded([was_settled](impl& self) { self.on_join_timer(was_settled); }));
}

void membership::impl::on_join_timer(bool was_settled)
{
    const bool alone = protocol_->table().live().empty();
    const bool settled_meanwhile = !was_settled && settled();
    const bool others_refresh = was_settled && !is_refresher();
    if (!alone && (settled_meanwhile || others_refresh)) {
        schedule_join_round();
        return;
    }
    if (!alone && was_settled) {
        append_complete_ = false;
        refreshing_ = true;
    }
    join_round();
}

/// Pings recorded nodes that are not known here.
void membership::impl::contact_recorded(std::size_t limit)
{
    std::vector<const member*> unknown;
    for (const auto& [instance, recorded] : directory_->records()) {
        if (instance != options_.self.node.instance &&
            protocol_->table().find(instance) == nullptr) {
            unknown.push_back(&recorded.node);
        }
    }
    std::shuffle(unknown.begin(), unknown.end(), random_);
    unknown.resize(std::min(unknown.size(), limit));
    for (const member* node : unknown) {
        protocol_->contact(node->node.address, node->gossip_port);
    }
    if (!synced_ && !unknown.empty()) {
        start_sync(unknown.front()->node);
    }
    flush();
}

std::size_t membership::impl::fresh_records(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [instance, recorded] : directory_->records()) {
        const member* known = protocol_->table().find(instance);
        if (known != nullptr && is_live(*known) && now - recorded.appended < record_freshness &&
            recorded.node.data_centre == options_.self.data_centre) {
            ++count;
        }
    }
    return count;
}

void membership::impl::append_when_needed(time_point now)
{
    const auto enough = directory_->sufficient_record_count();
    if (append_complete_ || !enough || now < earliest_append_) {
        return;
    }
    if (!refreshing_ && fresh_records(now) >= *enough) {
        append_complete_ = true;
        return;
    }
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.append_complete_ = self.append_complete_ || status.ok();
                           self.refreshing_ = self.refreshing_ && !status.ok();
                       }));
}

bool membership::impl::is_refresher() const
{
    const std::uint64_t own = member_table::digest_of(options_.self);
    std::size_t lower = 0;
    for (const std::uint64_t instance : protocol_->table().live()) {
        member other = *protocol_->table().find(instance);
        other.incarnation = options_.self.incarnation;
        if (other.data_centre == options_.self.data_centre &&
            member_table::digest_of(other) < own) {
            ++lower;
        }
    }
    return lower < refreshers_per_data_centre;
}

} // namespace chestnutstand
