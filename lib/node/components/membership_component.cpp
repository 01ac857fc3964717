#include "chestnutstand/config/configuration.h"
#include "chestnutstand/membership/cluster_id.h"
#include "chestnutstand/membership/join_log.h"
#include "chestnutstand/membership/keyed_directory.h"
#include "chestnutstand/membership/member_order.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/kernel.h"

#include <cstddef>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

/// Interval at which the node decides again how it reads the source of the document.
constexpr milliseconds role_check_interval{250};
/// Slightly longer than a probe period, in which a node receives at least the response to its own
/// probe.
constexpr milliseconds silence_limit{1'250};

/// Joins the cluster and connects gossip with the configuration.
class membership_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"log", "config", "node_endpoint"};
    }

    absl::Status start(kernel& node) override
    {
        membership_options options;
        options.self.node = {node.instance(), node.config().advertised_address, node.ports().node};
        options.bind_address = node.config().address;
        options.self.gossip_port = node.config().gossip_port;
        options.self.data_centre = node.config().data_centre;
        options.seeds = node.config().seeds;
        options.cluster = cluster_id(node.config().cluster_secret);
        options.random_seed = node.instance();
        members_ = std::make_unique<membership>(options, node.control(), make_directory(node),
                                                node.peers());
        std::promise<absl::Status> started;
        node.control().post([&] {
            connect_configuration(node);
            absl::Status result = members_->start();
            connect_evacuations(node.get<configuration>());
            started.set_value(std::move(result));
        });
        absl::Status status = started.get_future().get();
        node.ports().gossip = members_->gossip_port();
        node.provide(*members_);
        return status;
    }

    void begin_drain(kernel& node) override
    {
        if (!node.upstream_reports_departure()) {
            end_lame_duck(node);
        }
    }

    void end_lame_duck(kernel& node) override
    {
        node.control().post([this] { members_->set_draining(); });
    }

    void stop(kernel& node) override
    {
        std::promise<void> left;
        node.control().post([&] {
            members_->leave();
            left.set_value();
        });
        left.get_future().wait();
    }

private:
    static std::shared_ptr<member_directory> make_directory(kernel& node)
    {
        if (auto* store = node.find<keyed_store>()) {
            return std::make_shared<keyed_directory>(node.control(), *store);
        }
        return std::make_shared<join_log>(node.control(), node.get<log_client>());
    }

    /// A few nodes per data centre read the source of the document, the lowest instance as the
    /// lead. The others learn of changes by gossip, or read the source too while they receive no
    /// messages. When nodes disagree about which members are alive, only the number of readers
    /// varies.
    reader_role choose_reader_role(kernel& node) const
    {
        if (members_->time_since_last_message() > silence_limit) {
            return reader_role::lead;
        }
        std::size_t lower_instances = 0;
        for (const member& peer : members_->members()) {
            const bool is_candidate =
                is_live(peer) && peer.data_centre == node.config().data_centre;
            lower_instances += is_candidate && peer.node.instance < node.instance() ? 1 : 0;
        }
        if (lower_instances == 0) {
            return reader_role::lead;
        }
        return lower_instances < node.get<configuration>().wanted_readers() ? reader_role::standby
                                                                            : reader_role::none;
    }

    std::vector<deputy_candidate> list_live_peers(kernel& node) const
    {
        std::vector<deputy_candidate> peers;
        for (const member& peer : members_->members()) {
            if (peer.state == liveness::alive && peer.node.instance != node.instance()) {
                peers.push_back({peer.node, peer.data_centre == node.config().data_centre});
            }
        }
        return peers;
    }

    void connect_configuration(kernel& node)
    {
        node.control().repeat(role_check_interval, [this, &node] {
            node.get<configuration>().set_reader_role(choose_reader_role(node));
        });
        auto& config = node.get<configuration>();
        config.on_advance([this](std::uint64_t next) { members_->set_config_next_offset(next); });
        config.set_deputy_candidates([this, &node] { return list_live_peers(node); });
        members_->on_config_hint(
            [&config](const node_reference& peer, std::uint64_t next) { config.hint(peer, next); });
    }

    /// To be called after the start of the membership, which sends the digest.
    void connect_evacuations(configuration& config)
    {
        auto* evacuations = config.evacuations();
        if (evacuations == nullptr) {
            return;
        }
        if (const auto known = evacuations->evacuated().load()) {
            members_->set_evacuated(*known);
        }
        members_->set_evacuation_digest(evacuations->digest());
        evacuations->on_change(
            [this](const std::set<std::string>& names) { members_->set_evacuated(names); });
        evacuations->on_digest(
            [this](std::uint64_t digest) { members_->set_evacuation_digest(digest); });
        evacuations->on_rollback([this](std::uint64_t /*era*/) { members_->restore_record(); });
        members_->on_evacuation_hint([&config](const node_reference& peer, std::uint64_t digest) {
            config.hint_evacuations(peer, digest);
        });
    }

    std::unique_ptr<membership> members_;
};

const registration<membership_component, component> registered{"membership"};

} // namespace
} // namespace chestnutstand
