#include "gossip_network.h"

#include <algorithm>

namespace chestnutstand {

namespace {

constexpr std::size_t udp_ip_header_bytes = 28;
constexpr milliseconds convergence_step{10};
constexpr milliseconds join_limit{120'000};

std::uint16_t port_of(std::size_t slot)
{
    return static_cast<std::uint16_t>(slot + 1);
}

std::size_t slot_of(std::uint16_t port)
{
    return port - std::size_t{1};
}

} // namespace

gossip_network::gossip_network(const gossip_network_options& options)
    : options_{options}, random_{options.random_seed}
{
}

std::size_t gossip_network::add(const std::string& data_centre)
{
    slots_.emplace_back().data_centre = data_centre;
    start(slots_.size() - 1);
    return slots_.size() - 1;
}

void gossip_network::add_cluster(std::size_t count, const std::vector<std::string>& data_centres)
{
    for (std::size_t i = 0; i < count; ++i) {
        add(data_centres[i % data_centres.size()]);
        run_for(convergence_step);
    }
    run_until([this] { return is_converged(); }, join_limit);
}

void gossip_network::start(std::size_t slot)
{
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (i != slot && is_running(i)) {
            running.push_back(i);
        }
    }
    member self;
    self.node = {random_(), "10.0.0.1", port_of(slot)};
    self.gossip_port = port_of(slot);
    self.data_centre = slots_[slot].data_centre;
    self.service = "ledger-view";
    self.slots = 10;
    slot_state& state = slots_[slot];
    state.node = std::make_unique<swim>(self, options_.protocol, random_(), now_);
    state.up = true;
    state.paused = false;
    state.inbox.clear();
    std::uniform_real_distribution<double> share{0.0, 1.0};
    schedule(options_.tick_period * share(random_),
             [this, slot, process = state.node.get()] { tick(slot, process); });
    if (!running.empty()) {
        std::uniform_int_distribution<std::size_t> index{0, running.size() - 1};
        sync(slot, running[index(random_)]);
    }
}

void gossip_network::restart(std::size_t slot)
{
    start(slot);
}

void gossip_network::restart_in_cluster(std::size_t slot, std::uint64_t cluster)
{
    const std::uint64_t own = std::exchange(options_.protocol.cluster, cluster);
    start(slot);
    options_.protocol.cluster = own;
}

void gossip_network::resume(std::size_t slot)
{
    slot_state& state = slots_[slot];
    state.paused = false;
    // The timer was due before the datagrams that waited in the socket.
    state.node->on_tick(now_);
    flush(slot);
    for (const std::string& payload : std::exchange(state.inbox, {})) {
        deliver(slot, payload);
    }
}

void gossip_network::set_cut(std::function<bool(std::size_t, std::size_t)> cut)
{
    cut_ = std::move(cut);
}

void gossip_network::schedule(milliseconds delay, std::function<void()> run)
{
    events_.push({now_ + delay, next_order_++, std::move(run)});
}

void gossip_network::run_for(milliseconds span)
{
    const time_point end = now_ + span;
    while (!events_.empty() && events_.top().due <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.due;
        next.run();
    }
    now_ = end;
}

milliseconds gossip_network::run_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point begin = now_;
    while (!condition() && now_ - begin < limit) {
        run_for(convergence_step);
    }
    return now_ - begin;
}

void gossip_network::tick(std::size_t slot, const swim* process)
{
    slot_state& state = slots_[slot];
    if (!state.up || state.node.get() != process) {
        return;
    }
    if (!state.paused) {
        state.node->on_tick(now_);
        flush(slot);
    }
    schedule(options_.tick_period, [this, slot, process] { tick(slot, process); });
}

void gossip_network::deliver(std::size_t to, const std::string& payload)
{
    slot_state& state = slots_[to];
    if (!state.up) {
        return;
    }
    if (state.paused) {
        state.inbox.push_back(payload);
        return;
    }
    state.node->on_message(payload, now_);
    flush(to);
}

void gossip_network::flush(std::size_t slot)
{
    const swim_output output = slots_[slot].node->take_output();
    slots_[slot].resumed = slots_[slot].resumed || output.resumed;
    for (const datagram& out : output.datagrams) {
        send(slot, out);
    }
    for (const node_reference& peer : output.sync_peers) {
        sync(slot, slot_of(peer.node_port));
    }
}

void gossip_network::send(std::size_t from, const datagram& out)
{
    datagram_bytes_ += out.payload.size() + udp_ip_header_bytes;
    largest_datagram_ = std::max(largest_datagram_, out.payload.size());
    const std::size_t to = slot_of(out.port);
    if (slots_[to].data_centre != slots_[from].data_centre) {
        remote_datagram_bytes_ += out.payload.size() + udp_ip_header_bytes;
    }
    std::bernoulli_distribution lost{options_.loss};
    if (lost(random_) || is_cut(from, to)) {
        return;
    }
    schedule(options_.latency, [this, to, payload = out.payload] { deliver(to, payload); });
}

bool gossip_network::can_exchange(std::size_t a, std::size_t b) const
{
    return is_running(a) && is_running(b) && !is_cut(a, b) && !is_cut(b, a);
}

std::vector<std::string> gossip_network::count_sync(std::vector<std::string> items)
{
    for (const std::string& item : items) {
        sync_bytes_ += item.size();
    }
    return items;
}

void gossip_network::sync(std::size_t from, std::size_t to)
{
    const swim* process = slots_[from].node.get();
    auto request = count_sync(process->sync_request());
    schedule(options_.latency * 2, [this, from, to, process, request = std::move(request)] {
        if (!can_exchange(from, to) || slots_[from].node.get() != process) {
            return;
        }
        const auto reply = count_sync(slots_[to].node->handle_sync(request, now_));
        flush(to);
        const auto second = count_sync(slots_[from].node->finish_sync(reply, now_));
        flush(from);
        if (!second.empty()) {
            slots_[to].node->handle_sync(second, now_);
            flush(to);
        }
    });
}

bool gossip_network::all_running(const std::function<bool(const swim&)>& predicate,
                                 const std::string& data_centre) const
{
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (is_running(i) && (data_centre.empty() || slots_[i].data_centre == data_centre) &&
            !predicate(*slots_[i].node)) {
            return false;
        }
    }
    return true;
}

bool gossip_network::is_converged() const
{
    std::vector<std::uint64_t> running;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (is_running(i)) {
            running.push_back(instance(i));
        }
    }
    return all_running([&](const swim& observer) {
        return observer.table().live().size() + 1 == running.size() &&
               std::all_of(running.begin(), running.end(), [&](std::uint64_t id) {
                   const member* known = observer.table().find(id);
                   return id == observer.self().node.instance ||
                          (known != nullptr && known->state == liveness::alive);
               });
    });
}

liveness gossip_network::state_at(std::size_t observer, std::uint64_t instance) const
{
    const member* known = slots_[observer].node->table().find(instance);
    return known == nullptr ? liveness::dead : known->state;
}

std::uint64_t gossip_network::deaths_declared() const
{
    std::uint64_t total = 0;
    for (const slot_state& state : slots_) {
        total += state.node->counters().deaths_declared;
    }
    return total;
}

std::uint64_t gossip_network::suspicions_raised() const
{
    std::uint64_t total = 0;
    for (const slot_state& state : slots_) {
        total += state.node->counters().suspicions_raised;
    }
    return total;
}

} // namespace chestnutstand
