#include "membership_impl.h"

#include "chestnutstand/membership/join_log.h"
#include "chestnutstand/membership/routing_changes.h"
#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace chestnutstand {

namespace {

// Short compared with the direct probe timeout.
constexpr milliseconds tick_period{50};
// Rebuilding the routing table of 7,400 members takes milliseconds; changes within the interval
// share one rebuild.
constexpr milliseconds publish_interval{100};
constexpr milliseconds sync_timeout{2'000};
// Spreads the appends of nodes that start at the same time, so that the later ones find enough
// records and append none.
constexpr milliseconds append_jitter{1'000};

std::uint64_t total_bytes(const std::vector<std::string>& items)
{
    std::uint64_t bytes = 0;
    for (const std::string& item : items) {
        bytes += item.size();
    }
    return bytes;
}

} // namespace

absl::Status membership::impl::start()
{
    auto on_datagram = guarded([](impl& self, const std::string& payload) {
        if (self.protocol_) {
            self.protocol_->on_message(payload, ms_clock::now());
            self.flush();
        }
    });
    auto opened = gossip_transport::open(
        options_.bind_address.empty() ? options_.self.node.address : options_.bind_address,
        options_.self.gossip_port, loop_,
        [handle = std::move(on_datagram)](const std::string& payload) mutable { handle(payload); });
    if (!opened.ok()) {
        return opened.status();
    }
    transport_ = *std::move(opened);
    options_.self.gossip_port = transport_->port();
    auto begin = guarded([](impl& self) {
        const time_point now = ms_clock::now();
        swim_options protocol;
        protocol.cluster = self.options_.cluster;
        self.protocol_.emplace(self.options_.self, protocol, self.options_.random_seed, now);
        std::uniform_real_distribution<double> share{0.0, 1.0};
        self.earliest_append_ = now + append_jitter * share(self.random_);
        self.tick();
        self.join_round();
    });
    if (loop_.on_control_thread()) {
        begin();
    }
    else {
        loop_.post(std::move(begin));
    }
    return absl::OkStatus();
}

void membership::impl::tick()
{
    protocol_->on_tick(ms_clock::now());
    flush();
    loop_.post_after(tick_period, guarded([](impl& self) { self.tick(); }));
}

void membership::impl::flush()
{
    const swim_output output = protocol_->take_output();
    for (const datagram& out : output.datagrams) {
        transport_->send(out);
    }
    for (const node_reference& peer : output.sync_peers) {
        start_sync(peer);
    }
    publish_due_ = publish_due_ || output.members_changed;
    publish(ms_clock::now());
    for (const config_hint& hint : output.config_hints) {
        if (config_hint_callback_) {
            config_hint_callback_(hint.peer, hint.next_offset);
        }
    }
    for (const evacuation_hint& hint : output.evacuation_hints) {
        if (evacuation_hint_callback_) {
            evacuation_hint_callback_(hint.peer, hint.digest);
        }
    }
    for (const node_reference& sender : output.foreign_senders) {
        log_event(
            log_level::warning, "message of another cluster dropped",
            {{"sender", absl::StrCat(absl::Hex(sender.instance))}, {"address", sender.address}});
    }
    if (output.resumed) {
        log_event(log_level::warning,
                  "node resumed after a pause longer than the suspicion timeout");
        if (resume_callback_) {
            resume_callback_();
        }
    }
}

void membership::impl::publish(time_point now)
{
    if (!publish_due_ || now - last_publish_ < publish_interval) {
        return;
    }
    publish_due_ = false;
    last_publish_ = now;
    auto table = std::make_shared<routing_table>();
    const auto add = [&](const member& candidate) {
        if (protocol_->is_routable(candidate) && !evacuated_.contains(candidate.data_centre)) {
            table->by_service[candidate.service].push_back(candidate);
        }
    };
    add(protocol_->self());
    for (const std::uint64_t instance : protocol_->table().live()) {
        add(*protocol_->table().find(instance));
    }
    log_routing_changes(*table_.load(), *table);
    table_.store(std::move(table));
}

void membership::impl::set_evacuated(std::set<std::string> data_centres)
{
    evacuated_ = std::move(data_centres);
    publish_due_ = true;
    if (protocol_) {
        publish(ms_clock::now());
    }
}

void membership::impl::log_routing_changes(const routing_table& before,
                                           const routing_table& after) const
{
    const auto log = [this](std::string_view message, const member& routed) {
        const member* known = protocol_->table().find(routed.node.instance);
        const member& current = known != nullptr ? *known : protocol_->self();
        log_event(log_level::info, message,
                  {{"member", absl::StrCat(absl::Hex(routed.node.instance))},
                   {"address", routed.node.address},
                   {"service", routed.service},
                   {"state", std::string{liveness_names.name(current.state)}},
                   {"draining", current.draining},
                   {"incarnation", current.incarnation}});
    };
    const auto changes = compare_routes(before, after);
    for (const member& added : changes.added) {
        log("member gets calls", added);
    }
    for (const member& removed : changes.removed) {
        log("member gets no calls", removed);
    }
}

void membership::impl::start_sync(const node_reference& peer)
{
    if (sync_running_) {
        return;
    }
    sync_running_ = true;
    auto request = protocol_->sync_request();
    sync_bytes_sent_ += total_bytes(request);
    peers_.sync_members(
        peer, std::move(request), sync_timeout,
        [&loop = loop_, task = guarded([peer](impl& self, const auto& reply) {
                            self.finish_sync(peer, reply);
                        })](absl::StatusOr<std::vector<std::string>> reply) mutable {
            loop.post(
                [task = std::move(task), reply = std::move(reply)]() mutable { task(reply); });
        });
}

void membership::impl::finish_sync(const node_reference& peer,
                                   const absl::StatusOr<std::vector<std::string>>& reply)
{
    sync_running_ = false;
    if (!reply.ok()) {
        return;
    }
    synced_ = true;
    sync_bytes_received_ += total_bytes(*reply);
    auto second = protocol_->finish_sync(*reply, ms_clock::now());
    if (!second.empty()) {
        sync_bytes_sent_ += total_bytes(second);
        peers_.sync_members(peer, std::move(second), sync_timeout, [](const auto& /*reply*/) {});
    }
    flush();
}

void membership::impl::handle_sync(const std::vector<std::string>& request,
                                   const peer_client::members_done& reply)
{
    if (!protocol_) {
        reply(absl::UnavailableError("membership has not started"));
        return;
    }
    sync_bytes_received_ += total_bytes(request);
    auto response = protocol_->handle_sync(request, ms_clock::now());
    sync_bytes_sent_ += total_bytes(response);
    reply(std::move(response));
    flush();
}

std::size_t membership::impl::recorded_addresses() const
{
    std::set<std::pair<std::string, std::uint16_t>> addresses;
    for (const auto& [instance, record] : directory_->records()) {
        addresses.emplace(record.node.node.address, record.node.gossip_port);
    }
    return addresses.size();
}

void membership::impl::leave()
{
    protocol_->leave();
    flush();
}

gossip_traffic membership::impl::traffic() const
{
    gossip_traffic result = transport_->traffic();
    result.sync_bytes_sent = sync_bytes_sent_;
    result.sync_bytes_received = sync_bytes_received_;
    return result;
}

membership::membership(membership_options options, control_loop& loop,
                       std::shared_ptr<member_directory> directory, peer_client& peers)
    : impl_{std::make_shared<impl>(std::move(options), loop, std::move(directory), peers)}
{
}

membership::membership(membership_options options, control_loop& loop, log_client& log,
                       peer_client& peers)
    : membership{std::move(options), loop, std::make_shared<join_log>(loop, log), peers}
{
}

membership::~membership() = default;

absl::Status membership::start()
{
    return impl_->start();
}

std::uint16_t membership::gossip_port() const
{
    return impl_->transport_->port();
}

void membership::set_local_upstream(const std::string& service, std::uint32_t slots)
{
    impl_->protocol_->set_upstream(service, slots);
    impl_->flush();
}

void membership::set_draining()
{
    impl_->protocol_->set_draining();
    impl_->flush();
}

void membership::leave()
{
    impl_->leave();
}

const snapshot<routing_table>& membership::table() const
{
    return impl_->table_;
}

std::vector<member> membership::members() const
{
    return impl_->protocol_ ? impl_->protocol_->members() : std::vector<member>{};
}

milliseconds membership::time_since_last_message() const
{
    return impl_->protocol_ ? ms_clock::now() - impl_->protocol_->last_heard() : milliseconds{0};
}

std::size_t membership::recorded_addresses() const
{
    return impl_->recorded_addresses();
}

void membership::handle_sync(const std::vector<std::string>& request,
                             const peer_client::members_done& reply)
{
    impl_->handle_sync(request, reply);
}

void membership::set_config_next_offset(std::uint64_t next)
{
    impl_->protocol_->set_config_next_offset(next);
    impl_->flush();
}

void membership::on_config_hint(std::function<void(node_reference, std::uint64_t)> callback)
{
    impl_->config_hint_callback_ = std::move(callback);
}

void membership::set_evacuation_digest(std::uint64_t digest)
{
    impl_->protocol_->set_evacuation_digest(digest);
    impl_->flush();
}

void membership::on_evacuation_hint(std::function<void(node_reference, std::uint64_t)> callback)
{
    impl_->evacuation_hint_callback_ = std::move(callback);
}

void membership::set_evacuated(std::set<std::string> data_centres)
{
    impl_->set_evacuated(std::move(data_centres));
}

void membership::restore_record()
{
    impl_->restore_record();
}

void membership::on_resume(std::function<void()> callback)
{
    impl_->resume_callback_ = std::move(callback);
}

gossip_traffic membership::traffic() const
{
    return impl_->traffic();
}

} // namespace chestnutstand
