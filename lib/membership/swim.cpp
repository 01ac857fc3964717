#include "chestnutstand/membership/swim.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutstand {

namespace {

// Upper bound of the updates that fit into one packet.
constexpr std::size_t max_updates_per_packet = 40;

bool same_socket(const member& a, const member& b)
{
    return a.gossip_port == b.gossip_port && a.node.address == b.node.address;
}

bool is_urgent(const member* before, const member& after)
{
    if (!is_live(after)) {
        return before != nullptr && is_live(*before);
    }
    const bool starts_draining = after.draining && (before == nullptr || !before->draining);
    const bool refutes =
        after.state == liveness::alive && before != nullptr && before->state != liveness::alive;
    return starts_draining || refutes;
}

} // namespace

swim::swim(member self, const swim_options& options, std::uint64_t random_seed, time_point now)
    : self_{std::move(self)}, options_{options}, random_{random_seed}, last_run_{now},
      last_heard_{now}, table_changed_{now}, next_probe_{now + options.probe_period},
      next_dead_retry_{now + options.dead_retry_interval}, next_verify_{now}, next_sync_{now},
      next_purge_{now}, push_refilled_{now}, push_budget_bytes_{options.push_burst_bytes}
{
    self_.state = liveness::alive;
}

void swim::on_message(std::string_view payload, time_point now)
{
    const auto message = decode_gossip(payload);
    if (!message || message->sender.node.instance == self_.node.instance ||
        self_.state == liveness::left) {
        return;
    }
    if (message->cluster != options_.cluster) {
        output_.foreign_senders.push_back(message->sender.node);
        return;
    }
    detect_pause(now);
    last_heard_ = now;
    const bool is_new = table_.find(message->sender.node.instance) == nullptr;
    apply(message->sender, claim_source::direct, now);
    if (is_new) {
        declare_replaced_members_dead(message->sender, now);
    }
    for (const member& update : message->updates) {
        apply(update, claim_source::gossip, now);
    }
    if (message->config_next_offset > config_next_offset_) {
        output_.config_hints.push_back({message->sender.node, message->config_next_offset});
    }
    if (message->evacuation_digest != evacuation_digest_ && message->evacuation_digest != 0) {
        output_.evacuation_hints.push_back({message->sender.node, message->evacuation_digest});
    }
    compare_digests(*message, now);
    switch (message->kind) {
    case gossip_kind::ping:
        on_ping(*message);
        break;
    case gossip_kind::ack:
        on_ack(*message, now);
        break;
    case gossip_kind::ping_request:
        on_ping_request(*message, now);
        break;
    case gossip_kind::config_hint:
    case gossip_kind::push:
        break;
    }
}

void swim::on_ping(const gossip_message& message)
{
    gossip_message ack;
    ack.kind = gossip_kind::ack;
    ack.sequence = message.sequence;
    ack.target_instance = message.target_instance;
    send(std::move(ack), message.sender.node.address, message.sender.gossip_port,
         message.sender.node.instance);
}

void swim::on_ack(const gossip_message& message, time_point now)
{
    const std::uint64_t sender = message.sender.node.instance;
    const std::uint64_t acked_instance = message.target ? message.target->node.instance : sender;
    std::erase_if(probes_, [&](const probe& pending) {
        return pending.sequence == message.sequence && pending.target == acked_instance;
    });
    if (message.target) {
        apply(*message.target, claim_source::gossip, now);
    }
    else if (message.target_instance != 0 && message.target_instance != sender) {
        // Another process has the address of the member that was pinged.
        declare_replaced_members_dead(message.sender, now);
    }
    const auto found = relays_.find(message.sequence);
    if (found == relays_.end() || found->second.target != sender) {
        return;
    }
    const relay requested = found->second;
    relays_.erase(found);
    gossip_message ack;
    ack.kind = gossip_kind::ack;
    ack.sequence = requested.sequence;
    ack.target = message.sender;
    send(std::move(ack), requested.address, requested.port, 0);
}

void swim::on_ping_request(const gossip_message& message, time_point now)
{
    if (!message.target) {
        return;
    }
    apply(*message.target, claim_source::gossip, now);
    const std::uint64_t sequence = ++last_sequence_;
    relays_[sequence] = {message.target->node.instance, message.sender.node.address,
                         message.sender.gossip_port, message.sequence, now + options_.probe_period};
    ping(*message.target, sequence);
}

void swim::apply(const member& incoming, claim_source source, time_point now)
{
    if (incoming.node.instance == self_.node.instance) {
        apply_to_self(incoming);
        return;
    }
    const member* known = table_.find(incoming.node.instance);
    const bool from_sync = source == claim_source::sync || source == claim_source::bulk_sync;
    if (known == nullptr) {
        // Peers purge dead members at different times; a purged one must not be added again.
        if (is_live(incoming) || !from_sync) {
            accept(incoming, source, now);
        }
        return;
    }
    if (from_sync && known->state == liveness::dead && is_live(incoming) &&
        incoming.incarnation <= known->incarnation) {
        // A peer reaches a member that this node considers dead, as after a partition.
        verify_later(*known);
        return;
    }
    if (!supersedes(incoming, *known)) {
        return;
    }
    if (incoming.state == liveness::dead && known->state == liveness::alive) {
        // A death without a preceding suspicion may come from the other side of a partition. The
        // member is sent the claim in a probe, so that it can refute it.
        verify_later(incoming);
        return;
    }
    accept(incoming, source, now);
}

void swim::apply_to_self(const member& incoming)
{
    const bool refutes =
        incoming.state != liveness::alive && incoming.incarnation >= self_.incarnation;
    if (self_.state == liveness::left || (!refutes && incoming.incarnation <= self_.incarnation)) {
        return;
    }
    self_.incarnation = incoming.incarnation + 1;
    ++counters_.refutations;
    announce_self(true);
}

void swim::accept(const member& incoming, claim_source source, time_point now)
{
    const std::uint64_t instance = incoming.node.instance;
    const member* known = table_.find(instance);
    const bool was_live = known != nullptr && is_live(*known);
    const bool revived = known != nullptr && known->state == liveness::dead;
    const bool urgent = is_urgent(known, incoming);
    const bool suspicion_only =
        was_live && is_live(incoming) && known->incarnation == incoming.incarnation;
    if (!table_.merge(incoming, now)) {
        return;
    }
    output_.members_changed = true;
    if (!suspicion_only) {
        table_changed_ = now;
    }
    if (incoming.state == liveness::suspect) {
        suspicions_.try_emplace(instance, suspicion{now, now + options_.suspicion_timeout});
    }
    else {
        suspicions_.erase(instance);
    }
    if (!was_live && is_live(incoming)) {
        std::uniform_int_distribution<std::size_t> position{probe_index_, probe_order_.size()};
        probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position(random_)),
                            instance);
    }
    if (source != claim_source::bulk_sync) {
        queue_update(instance, urgent);
    }
    if (revived && is_live(incoming) && source == claim_source::direct) {
        request_sync(incoming.node, now);
    }
}

void swim::declare(std::uint64_t instance, liveness state, time_point now)
{
    const member* known = table_.find(instance);
    if (known == nullptr || known->state >= state) {
        return;
    }
    member changed = *known;
    changed.state = state;
    accept(changed, claim_source::gossip, now);
}

void swim::declare_replaced_members_dead(const member& sender, time_point now)
{
    const member* current = table_.find(sender.node.instance);
    if (current == nullptr || !is_live(*current)) {
        return;
    }
    std::vector<std::uint64_t> replaced;
    for (const std::uint64_t instance : table_.live()) {
        if (instance != sender.node.instance && same_socket(*table_.find(instance), sender)) {
            replaced.push_back(instance);
        }
    }
    for (const std::uint64_t instance : replaced) {
        declare(instance, liveness::dead, now);
    }
}

void swim::announce_self(bool urgent)
{
    queue_update(self_.node.instance, urgent);
    output_.members_changed = true;
}

void swim::queue_update(std::uint64_t instance, bool urgent)
{
    queue_.add(instance, urgent);
    push_due_ = true;
    urgent_push_due_ = urgent_push_due_ || urgent;
}

void swim::verify_later(const member& claim)
{
    const auto [entry, inserted] = unverified_claims_.insert_or_assign(claim.node.instance, claim);
    if (inserted) {
        verify_order_.push_back(entry->first);
    }
}

void swim::set_upstream(const std::string& service, std::uint32_t slots)
{
    if (self_.service == service && self_.slots == slots) {
        return;
    }
    self_.service = service;
    self_.slots = slots;
    ++self_.incarnation;
    announce_self(false);
}

void swim::set_draining()
{
    if (self_.draining) {
        return;
    }
    self_.draining = true;
    ++self_.incarnation;
    announce_self(true);
}

void swim::leave()
{
    if (self_.state == liveness::left) {
        return;
    }
    self_.state = liveness::left;
    ++self_.incarnation;
    for (const member* peer :
         table_.random_live(options_.push_fan_out, self_.node.instance, random_)) {
        gossip_message leave_message;
        leave_message.kind = gossip_kind::push;
        send(std::move(leave_message), peer->node.address, peer->gossip_port, peer->node.instance);
    }
    output_.members_changed = true;
}

void swim::set_config_next_offset(std::uint64_t next)
{
    if (next <= config_next_offset_) {
        return;
    }
    config_next_offset_ = next;
    send_hints();
}

void swim::set_evacuation_digest(std::uint64_t digest)
{
    if (digest != evacuation_digest_) {
        evacuation_digest_ = digest;
        send_hints();
    }
}

void swim::send_hints()
{
    for (const member* peer : hint_targets()) {
        gossip_message hint;
        hint.kind = gossip_kind::config_hint;
        send(std::move(hint), peer->node.address, peer->gossip_port, peer->node.instance);
    }
}

std::vector<const member*> swim::hint_targets()
{
    std::vector<const member*> near;
    for (const std::uint64_t instance : table_.live()) {
        const member* peer = table_.find(instance);
        if (peer->data_centre == self_.data_centre) {
            near.push_back(peer);
        }
    }
    std::shuffle(near.begin(), near.end(), random_);
    near.resize(std::min(near.size(), options_.push_fan_out));
    for (const member* peer : table_.random_live(1, self_.node.instance, random_)) {
        if (std::find(near.begin(), near.end(), peer) == near.end()) {
            near.push_back(peer);
        }
    }
    return near;
}

void swim::contact(const std::string& address, std::uint16_t port)
{
    gossip_message message;
    message.kind = gossip_kind::ping;
    message.sequence = ++last_sequence_;
    send(std::move(message), address, port, 0);
}

void swim::ping(const member& target, std::uint64_t sequence)
{
    gossip_message message;
    message.kind = gossip_kind::ping;
    message.sequence = sequence;
    message.target_instance = target.node.instance;
    send(std::move(message), target.node.address, target.gossip_port, target.node.instance);
}

void swim::send(gossip_message message, const std::string& address, std::uint16_t port,
                std::uint64_t to_instance)
{
    message.sender = self_;
    message.cluster = options_.cluster;
    message.config_next_offset = config_next_offset_;
    message.evacuation_digest = evacuation_digest_;
    message.table_digest = stable_digest();
    add_updates(message, to_instance);
    output_.datagrams.push_back({address, port, encode(message)});
}

void swim::add_updates(gossip_message& message, std::uint64_t to_instance)
{
    std::size_t size = encode(message).size();
    // Tell the receiver that this node does not consider it alive, so that it can refute it.
    const auto claim = unverified_claims_.find(to_instance);
    const member* receiver =
        claim == unverified_claims_.end() ? table_.find(to_instance) : &claim->second;
    if (receiver != nullptr && receiver->state != liveness::alive) {
        size += encoded_size(*receiver);
        message.updates.push_back(*receiver);
    }
    const bool remote = receiver != nullptr && receiver->data_centre != self_.data_centre;
    const bool has_backlog = queue_.size() > options_.update_backlog_threshold;
    const std::size_t non_urgent_limit =
        remote && has_backlog ? options_.remote_transmissions : transmit_limit();
    queue_.send_next(transmit_limit(), max_updates_per_packet, non_urgent_limit,
                     [&](std::uint64_t instance) {
                         const member* update = table_.find(instance);
                         if (update == nullptr) {
                             // Either this node, whose state every message carries as its sender,
                             // or a purged member.
                             return true;
                         }
                         if (instance == to_instance) {
                             return false;
                         }
                         const std::size_t added = encoded_size(*update);
                         if (size + added > options_.packet_limit) {
                             return false;
                         }
                         size += added;
                         message.updates.push_back(*update);
                         return true;
                     });
}

std::size_t swim::transmit_limit() const
{
    const double members = static_cast<double>(table_.live().size()) + 2.0;
    return static_cast<std::size_t>(std::ceil(options_.retransmit_factor * std::log(members)));
}

std::vector<member> swim::members() const
{
    std::vector<member> all{self_};
    all.reserve(table_.entries().size() + 1);
    for (const auto& [instance, known] : table_.entries()) {
        all.push_back(known.state);
    }
    return all;
}

bool swim::is_routable(const member& candidate) const
{
    if (candidate.service.empty() || candidate.draining || !is_live(candidate)) {
        return false;
    }
    const auto found = suspicions_.find(candidate.node.instance);
    return found == suspicions_.end() || found->second.routable;
}

} // namespace chestnutstand
