#include "chestnutstand/membership/membership.h"

#include "chestnutstand/membership/join_log.h"
#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace chestnutstand {

namespace {

// Short compared with the direct probe timeout.
constexpr milliseconds tick_period{50};
// Rebuilding the routing table of 7,400 members takes milliseconds; bursts of changes share one.
constexpr milliseconds publish_interval{100};
constexpr milliseconds sync_timeout{2'000};
constexpr milliseconds first_join_interval{250};
constexpr milliseconds longest_join_interval{1'500};
// A member of the cluster can wait for the log; 7,400 of them must not load it while it recovers.
constexpr milliseconds longest_joined_interval{120'000};
constexpr double join_backoff = 1.5;
// Spreads the appends of nodes that start together; those that come later find enough records.
constexpr milliseconds append_jitter{1'000};
constexpr milliseconds refresh_interval{300'000};
// Two refresh periods: a record is stale once a refresh has been missed.
constexpr milliseconds record_freshness{600'000};
constexpr std::size_t refreshers_per_data_centre = 2;
constexpr std::size_t contacts_per_round = 3;
constexpr std::size_t contacts_per_refresh = 20;

std::uint64_t total_bytes(const std::vector<std::string>& items)
{
    std::uint64_t bytes = 0;
    for (const std::string& item : items) {
        bytes += item.size();
    }
    return bytes;
}

} // namespace

class membership::impl : public std::enable_shared_from_this<membership::impl> {
public:
    impl(membership_options options, control_loop& loop,
         std::shared_ptr<member_directory> directory, peer_client& peers)
        : options_{std::move(options)}, loop_{loop}, peers_{peers},
          directory_{std::move(directory)}, random_{options_.random_seed}
    {
        table_.store(std::make_shared<const routing_table>());
    }

    absl::Status start();
    void flush();
    void leave();
    void handle_sync(const std::vector<std::string>& theirs,
                     const peer_client::members_done& reply);
    gossip_traffic traffic() const;

    /// Null until start has succeeded.
    std::optional<swim> protocol_;
    std::unique_ptr<gossip_transport> transport_;
    snapshot<routing_table> table_;
    std::function<void(node_reference, std::uint64_t)> config_hint_callback_;
    std::function<void()> resume_callback_;

private:
    /// Wraps a task so that it does nothing once the membership object is gone.
    template <typename Task>
    auto guarded(Task task)
    {
        return [weak = weak_from_this(), task = std::move(task)](auto&&... args) mutable {
            if (const auto self = weak.lock()) {
                task(*self, std::forward<decltype(args)>(args)...);
            }
        };
    }

    void tick();
    void publish(time_point now);
    void log_routing_changes(const routing_table& before, const routing_table& now) const;
    void start_sync(const node_reference& peer);
    void finish_sync(const node_reference& peer,
                     const absl::StatusOr<std::vector<std::string>>& reply);

    // Joining.
    void join_round();
    void read_directory();
    bool settled() const { return synced_ && record_settled_ && read_after_settled_; }
    void schedule_join_round();
    void on_join_records(const absl::Status& status);
    void contact_recorded(std::size_t limit);
    void append_when_needed(time_point now);
    std::size_t fresh_records(time_point now) const;
    bool is_refresher() const;

    membership_options options_;
    control_loop& loop_;
    peer_client& peers_;
    std::shared_ptr<member_directory> directory_;
    std::mt19937_64 random_;
    time_point last_publish_;
    bool publish_due_ = true;
    bool synced_ = false;
    bool sync_running_ = false;
    bool directory_reachable_ = true;
    milliseconds join_interval_ = first_join_interval;
    time_point append_from_;
    /// Set while this node renews the records of its data centre.
    bool refreshing_ = false;
    /// Whether the own join record exists or is not needed.
    bool record_settled_ = false;
    /// Whether the stream was read after that; a node that started at the same time shows up then.
    bool read_after_settled_ = false;
    std::atomic<std::uint64_t> sync_bytes_sent_{0};
    std::atomic<std::uint64_t> sync_bytes_received_{0};
};

absl::Status membership::impl::start()
{
    auto on_datagram = guarded([](impl& self, const std::string& payload) {
        if (self.protocol_) {
            self.protocol_->on_message(payload, ms_clock::now());
            self.flush();
        }
    });
    auto opened = gossip_transport::open(
        options_.self.node.address, options_.self.gossip_port, loop_,
        [handle = std::move(on_datagram)](const std::string& payload) mutable { handle(payload); });
    if (!opened.ok()) {
        return opened.status();
    }
    transport_ = *std::move(opened);
    options_.self.gossip_port = transport_->port();
    auto begin = guarded([](impl& self) {
        const time_point now = ms_clock::now();
        self.protocol_.emplace(self.options_.self, swim_options{}, self.options_.random_seed, now);
        std::uniform_real_distribution<double> share{0.0, 1.0};
        self.append_from_ = now + append_jitter * share(self.random_);
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
    for (const node_reference& peer : output.syncs) {
        start_sync(peer);
    }
    publish_due_ = publish_due_ || output.members_changed;
    publish(ms_clock::now());
    for (const config_hint& hint : output.config_hints) {
        if (config_hint_callback_) {
            config_hint_callback_(hint.peer, hint.next_offset);
        }
    }
    if (output.resumed) {
        log_event(log_level::warning, "resumed after a pause longer than the suspicion time");
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
        if (protocol_->is_routable(candidate)) {
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

/// Members that get calls from now on, and those that no longer do, with what is believed of them.
void membership::impl::log_routing_changes(const routing_table& before,
                                           const routing_table& now) const
{
    const auto contains = [](const routing_table& table, const member& wanted) {
        const auto* members = table.find(wanted.service);
        return members != nullptr &&
               std::any_of(members->begin(), members->end(), [&](const member& each) {
                   return each.node.instance == wanted.node.instance;
               });
    };
    const auto log = [](std::string_view message, const member& of, const member& believed) {
        log_event(log_level::info, message,
                  {{"member", absl::StrCat(absl::Hex(of.node.instance))},
                   {"address", of.node.address},
                   {"service", of.service},
                   {"state", std::string{liveness_names.name(believed.state)}},
                   {"draining", believed.draining},
                   {"incarnation", believed.incarnation}});
    };
    for (const auto& [service, members] : now.by_service) {
        for (const member& each : members) {
            if (!contains(before, each)) {
                log("member gets calls", each, each);
            }
        }
    }
    for (const auto& [service, members] : before.by_service) {
        for (const member& each : members) {
            if (!contains(now, each)) {
                const member* known = protocol_->table().find(each.node.instance);
                log("member gets no calls", each, known != nullptr ? *known : protocol_->self());
            }
        }
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

void membership::impl::handle_sync(const std::vector<std::string>& theirs,
                                   const peer_client::members_done& reply)
{
    if (!protocol_) {
        reply(absl::UnavailableError("membership has not started"));
        return;
    }
    sync_bytes_received_ += total_bytes(theirs);
    auto ours = protocol_->handle_sync(theirs, ms_clock::now());
    sync_bytes_sent_ += total_bytes(ours);
    reply(std::move(ours));
    flush();
}

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
    if (!live.empty() && record_settled_ && read_after_settled_) {
        // Only the exchange with a peer is missing.
        schedule_join_round();
        return;
    }
    if (record_settled_ || directory_->enough_records()) {
        read_directory();
        return;
    }
    // Of two nodes that start together, the one that adds its record later reads both.
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.record_settled_ = self.record_settled_ || status.ok();
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
        read_after_settled_ = record_settled_;
        append_when_needed(now);
    }
    schedule_join_round();
}

void membership::impl::schedule_join_round()
{
    const bool was_settled = settled();
    milliseconds delay = join_interval_;
    if (was_settled) {
        join_interval_ = first_join_interval;
        std::uniform_real_distribution<double> jitter{0.9, 1.1};
        delay = refresh_interval * jitter(random_);
    }
    else {
        join_interval_ = std::min(join_interval_ * join_backoff,
                                  synced_ ? longest_joined_interval : longest_join_interval);
    }
    loop_.post_after(delay, guarded([was_settled](impl& self) {
                         const bool alone = self.protocol_->table().live().empty();
                         if (!alone && !was_settled && self.settled()) {
                             self.schedule_join_round();
                         }
                         else if (!was_settled || alone) {
                             self.join_round();
                         }
                         else if (self.is_refresher()) {
                             self.record_settled_ = false;
                             self.refreshing_ = true;
                             self.join_round();
                         }
                         else {
                             self.schedule_join_round();
                         }
                     }));
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
    const auto enough = directory_->enough_records();
    if (record_settled_ || !enough || now < append_from_) {
        return;
    }
    if (!refreshing_ && fresh_records(now) >= *enough) {
        record_settled_ = true;
        return;
    }
    directory_->append(options_.self, guarded([](impl& self, const absl::Status& status) {
                           self.record_settled_ = self.record_settled_ || status.ok();
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

milliseconds membership::silence() const
{
    return impl_->protocol_ ? ms_clock::now() - impl_->protocol_->last_heard() : milliseconds{0};
}

void membership::handle_sync(const std::vector<std::string>& theirs,
                             const peer_client::members_done& reply)
{
    impl_->handle_sync(theirs, reply);
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

void membership::on_resume(std::function<void()> callback)
{
    impl_->resume_callback_ = std::move(callback);
}

gossip_traffic membership::traffic() const
{
    return impl_->traffic();
}

} // namespace chestnutstand
