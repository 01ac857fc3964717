#include "chestnutstand/membership/swim.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

namespace {

// Shorter gaps between calls are normal scheduling.
constexpr milliseconds tolerated_gap{250};
constexpr milliseconds purge_interval{60'000};
// Suspects that one node probes again in the same period.
constexpr std::size_t max_reprobes = 5;

} // namespace

void swim::on_tick(time_point now)
{
    if (self_.state == liveness::left) {
        return;
    }
    detect_pause(now);
    advance_probes(now);
    expire_suspicions(now);
    std::erase_if(relays_, [&](const auto& item) { return item.second.deadline <= now; });
    if (now >= next_probe_) {
        start_probe_period(now);
    }
    retry_dead(now);
    verify_next(now);
    push_updates(now);
    if (now >= next_purge_) {
        next_purge_ = now + purge_interval;
        table_.purge(now, options_.dead_retention);
    }
}

/// Time in which this node did not run says nothing about other members: deadlines move by it.
void swim::detect_pause(time_point now)
{
    const milliseconds gap = now - std::exchange(last_run_, std::max(now, last_run_));
    if (gap <= tolerated_gap) {
        return;
    }
    shift_deadlines(gap);
    if (gap <= options_.suspicion) {
        return;
    }
    ++self_.incarnation;
    announce_self(true);
    output_.resumed = true;
    for (const member* peer : table_.random_live(1, self_.node.instance, random_)) {
        output_.sync_peers.push_back(peer->node);
    }
}

void swim::shift_deadlines(milliseconds gap)
{
    for (probe& running : probes_) {
        running.direct_deadline += gap;
        running.deadline += gap;
    }
    for (auto& [instance, running] : suspicions_) {
        running.started += gap;
        running.deadline += gap;
    }
}

void swim::start_probe_period(time_point now)
{
    std::uniform_real_distribution<double> jitter{1.0 - options_.probe_jitter,
                                                  1.0 + options_.probe_jitter};
    next_probe_ = now + options_.probe_period * jitter(random_);
    if (const std::uint64_t target = next_probe_target(); target != 0) {
        start_probe(target, now);
    }
    std::size_t reprobes = 0;
    for (const auto& [instance, running] : suspicions_) {
        if (running.own && reprobes < max_reprobes) {
            ++reprobes;
            start_probe(instance, now);
        }
    }
}

std::uint64_t swim::next_probe_target()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (probe_index_ < probe_order_.size()) {
            const std::uint64_t instance = probe_order_[probe_index_++];
            const member* known = table_.find(instance);
            if (known != nullptr && is_live(*known)) {
                return instance;
            }
        }
        probe_order_ = table_.live();
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
        probe_index_ = 0;
    }
    return 0;
}

void swim::start_probe(std::uint64_t target, time_point now)
{
    const bool running = std::any_of(probes_.begin(), probes_.end(),
                                     [&](const probe& other) { return other.target == target; });
    if (running) {
        return;
    }
    const std::uint64_t sequence = ++last_sequence_;
    probes_.push_back(
        {target, sequence, now + options_.direct_timeout, now + options_.probe_period, false});
    ping(*table_.find(target), sequence);
}

void swim::advance_probes(time_point now)
{
    std::vector<std::uint64_t> failed;
    for (probe& running : probes_) {
        if (now >= running.deadline) {
            failed.push_back(running.target);
        }
        else if (!running.indirect && now >= running.direct_deadline) {
            request_indirect_probes(running);
        }
    }
    std::erase_if(probes_, [&](const probe& running) { return now >= running.deadline; });
    for (const std::uint64_t target : failed) {
        declare(target, liveness::suspect, now);
        const auto found = suspicions_.find(target);
        if (found != suspicions_.end() && !found->second.own) {
            found->second.own = true;
            ++counters_.suspicions_raised;
        }
    }
}

void swim::request_indirect_probes(probe& running)
{
    running.indirect = true;
    const member* target = table_.find(running.target);
    if (target == nullptr) {
        return;
    }
    for (const member* helper :
         table_.random_live(options_.indirect_probes, running.target, random_)) {
        gossip_message request;
        request.kind = gossip_kind::ping_request;
        request.sequence = running.sequence;
        request.target = *target;
        send(std::move(request), helper->node.address, helper->gossip_port, helper->node.instance);
    }
}

void swim::expire_suspicions(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto& [instance, running] : suspicions_) {
        if (now >= running.deadline) {
            expired.push_back(instance);
        }
        else if (running.routable && now - running.started >= options_.unroutable_after) {
            running.routable = false;
            output_.members_changed = true;
        }
    }
    counters_.deaths_declared += expired.size();
    for (const std::uint64_t instance : expired) {
        declare(instance, liveness::dead, now);
    }
}

void swim::retry_dead(time_point now)
{
    if (now < next_dead_retry_) {
        return;
    }
    next_dead_retry_ = now + options_.dead_retry_interval;
    if (const member* dead = table_.random_dead(random_)) {
        ping(*dead, ++last_sequence_);
    }
}

void swim::verify_next(time_point now)
{
    if (now < next_verify_ || verify_order_.empty()) {
        return;
    }
    next_verify_ = now + options_.verify_interval;
    // In random order, so that nodes with the same claims check different ones first.
    std::uniform_int_distribution<std::size_t> index{0, verify_order_.size() - 1};
    std::swap(verify_order_[index(random_)], verify_order_.back());
    const std::uint64_t instance = verify_order_.back();
    verify_order_.pop_back();
    const member claim = verify_.at(instance);
    const member* known = table_.find(instance);
    if (known != nullptr && known->state == liveness::alive && supersedes(claim, *known)) {
        start_probe(instance, now);
    }
    else if (known != nullptr && !is_live(*known) && !supersedes(*known, claim)) {
        ping(claim, ++last_sequence_);
    }
    verify_.erase(instance);
}

void swim::push_updates(time_point now)
{
    const double refill = (now - push_refilled_).count() / 1000.0 * options_.push_bytes_per_s;
    push_budget_bytes_ = std::min(options_.push_burst_bytes, push_budget_bytes_ + refill);
    push_refilled_ = now;
    const double reserve = urgent_push_due_ ? 0.0 : options_.urgent_push_reserve_bytes;
    if (!push_due_ || push_budget_bytes_ <= reserve) {
        return;
    }
    push_due_ = false;
    urgent_push_due_ = false;
    for (const member* peer :
         table_.random_live(options_.push_fan_out, self_.node.instance, random_)) {
        gossip_message push;
        push.kind = gossip_kind::push;
        send(std::move(push), peer->node.address, peer->gossip_port, peer->node.instance);
        push_budget_bytes_ -= static_cast<double>(output_.datagrams.back().payload.size());
    }
}

} // namespace chestnutstand
