#include "chestnutstand/config/configuration.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/kernel.h"
#include "chestnutstand/node/key_router.h"
#include "chestnutstand/tenancy/quota_service.h"
#include "chestnutstand/transport/node_server.h"

#include <memory>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds stop_timeout{1'000};

/// Dispatches requests from other nodes to the components of this node.
class local_node_handler final : public node_handler {
public:
    explicit local_node_handler(kernel& node) : node_{node}, executor_{node.get<executor>()} {}

    void execute(std::uint64_t target_instance, service_call call, call_done done) override
    {
        executor_.execute(target_instance, std::move(call), done);
    }

    void forward(std::uint64_t target_instance, service_call call, bool query_only,
                 call_done done) override
    {
        auto* keys = node_.find<key_router>();
        if (keys == nullptr || target_instance != node_.instance()) {
            done(unknown_outcome(reason_code::owner_unreachable));
            return;
        }
        keys->receive(call, query_only, done);
    }

    absl::StatusOr<settle_result> settle(std::uint64_t target_instance,
                                         const std::string& key) override
    {
        if (target_instance != node_.instance()) {
            return settle_result{settle_state::wrong_instance, {}, reason_code::wrong_instance, {}};
        }
        if (const auto attempt = parse_attempt_key(key)) {
            return executor_.settle_attempt(*attempt);
        }
        return node_.get<executor_keys>().settle(key, ms_clock::now());
    }

    load_report probe() override { return executor_.report(); }

    void fetch_changes(const fetch_request& request, peer_client::changes_done done) override
    {
        node_.control().post([this, request, done = std::move(done)] {
            auto& config = node_.get<configuration>();
            if (request.read_source) {
                config.handle_source_fetch(request, done);
                return;
            }
            done(config.handle_fetch(request));
        });
    }

    void sync_members(std::vector<std::string> remote_members,
                      peer_client::members_done done) override
    {
        node_.control().post(
            [this, remote_members = std::move(remote_members), done = std::move(done)]() mutable {
                auto* members = node_.find<membership>();
                if (members == nullptr) {
                    done(absl::UnavailableError("membership has not started"));
                    return;
                }
                members->handle_sync(remote_members, done);
            });
    }

    void acquire_quota(const quota_request& request, peer_client::quota_done done) override
    {
        auto* quotas = node_.find<quota_service>();
        if (quotas == nullptr) {
            done(absl::UnavailableError("quotas have not started"));
            return;
        }
        quotas->handle(request, std::move(done));
    }

private:
    kernel& node_;
    executor& executor_;
};

/// Runs the server for requests from other nodes.
class node_endpoint_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override { return {"config", "executor"}; }

    absl::Status start(kernel& node) override
    {
        handler_ = std::make_unique<local_node_handler>(node);
        const settings& config = node.config();
        server_ =
            config.carrier == node_carrier::http
                ? make_http_node_server(config.address, config.node_port, *handler_, node.memory())
                : std::make_unique<node_server>(config.address, config.node_port, *handler_);
        absl::Status status = server_->start();
        if (status.ok()) {
            node.ports().node = server_->port();
        }
        return status;
    }

    bool idle() const override { return server_->idle(); }
    void stop(kernel& /*node*/) override { server_->stop(stop_timeout); }

private:
    std::unique_ptr<local_node_handler> handler_;
    std::unique_ptr<node_endpoint> server_;
};

const registration<node_endpoint_component, component> registered{"node_endpoint"};

} // namespace
} // namespace chestnutstand
