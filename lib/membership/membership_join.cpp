// Discovery of other members through seeds and the member directory, and maintenance of this node's
// directory record.

#include "membership_impl.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds max_join_interval{1'500};
// A node that has reached the cluster does not need the log soon, and retries of 7,400 nodes must
// not overload a log that is recovering.
constexpr milliseconds max_join_interval_after_sync{120'000};
constexpr double join_backoff = 1.5;
constexpr milliseconds refresh_interval{300'000};
// Two refresh periods, so that a record is stale once a refresh has been missed.
constexpr milliseconds record_freshness{600'000};
constexpr std::size_t refreshers_per_data_centre = 2;
// A directory comes back from a copy that is some seconds old, and a node may learn of it late.
constexpr milliseconds max_copy_age{120'000};
// Spreads the writes of the nodes that started shortly before the rollback.
constexpr milliseconds rewrite_jitter{2'000};
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
        // Only the push-pull exchange is still to come.
        schedule_join_round();
        return;
    }
    if (append_complete_ || directory_->sufficient_record_count()) {
        read_directory();
        return;
    }
    // Append before reading: of two nodes that start together, the later one then reads both
    // records.
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.on_appended(status);
                           self.read_directory();
                       }));
}

void membership::impl::on_appended(const absl::Status& status)
{
    append_complete_ = append_complete_ || status.ok();
    refreshing_ = refreshing_ && !status.ok();
    if (status.ok()) {
        appended_at_ = ms_clock::now();
    }
}

void membership::impl::restore_record()
{
    if (!appended_at_) {
        // An append that is under way may reach the directory before or after the rollback.
        loop_.post_after(rewrite_jitter, guarded([](impl& self) { self.restore_record(); }));
        return;
    }
    const bool may_be_lost = appended_at_ && ms_clock::now() - *appended_at_ < max_copy_age;
    if (!may_be_lost || protocol_->self().state == liveness::left) {
        return;
    }
    log_event(log_level::info, "member record written again after a rollback of the directory", {});
    append_complete_ = false;
    read_after_append_ = false;
    std::uniform_real_distribution<double> share{0.0, 1.0};
    loop_.post_after(rewrite_jitter * share(random_),
                     guarded([](impl& self) { self.append_again(); }));
}

void membership::impl::append_again()
{
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.on_appended(status);
                           if (!status.ok()) {
                               self.loop_.post_after(rewrite_jitter, self.guarded([](impl& node) {
                                   node.append_again();
                               }));
                           }
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
    const bool was_join_complete = is_join_complete();
    milliseconds delay = join_interval_;
    if (was_join_complete) {
        join_interval_ = initial_join_interval;
        std::uniform_real_distribution<double> jitter{0.9, 1.1};
        delay = refresh_interval * jitter(random_);
    }
    else {
        join_interval_ = std::min(join_interval_ * join_backoff,
                                  synced_ ? max_join_interval_after_sync : max_join_interval);
    }
    loop_.post_after(
        delay, guarded([was_join_complete](impl& self) { self.on_join_timer(was_join_complete); }));
}

void membership::impl::on_join_timer(bool was_join_complete)
{
    const bool isolated = protocol_->table().live().empty();
    const bool completed_meanwhile = !was_join_complete && is_join_complete();
    const bool others_refresh = was_join_complete && !is_refresher();
    if (!isolated && (completed_meanwhile || others_refresh)) {
        schedule_join_round();
        return;
    }
    if (!isolated && was_join_complete) {
        append_complete_ = false;
        refreshing_ = true;
    }
    join_round();
}

/// Pings nodes of the directory that are not known as members.
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
                           self.on_appended(status);
                       }));
}

bool membership::impl::is_refresher() const
{
    const std::uint64_t own_digest = member_table::digest_of(options_.self);
    std::size_t members_before = 0;
    for (const std::uint64_t instance : protocol_->table().live()) {
        // Each node computes the same order if all digests use the same incarnation.
        member other = *protocol_->table().find(instance);
        other.incarnation = options_.self.incarnation;
        if (other.data_centre == options_.self.data_centre &&
            member_table::digest_of(other) < own_digest) {
            ++members_before;
        }
    }
    return members_before < refreshers_per_data_centre;
}

} // namespace chestnutstand
