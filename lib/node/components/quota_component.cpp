#include "chestnutstand/config/configuration.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/kernel.h"
#include "chestnutstand/tenancy/quota_service.h"

#include <atomic>
#include <memory>
#include <utility>

namespace chestnutstand {
namespace {

/// Interval at which the node looks for changes of the routing table.
constexpr milliseconds check_interval{250};
/// Interval at which the view is rebuilt without such a change. A rebuild with 7,400 members takes
/// milliseconds.
constexpr milliseconds rebuild_interval{1'000};

/// Provides the quotas of tenants.
class quota_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override { return {"config", "membership"}; }

    absl::Status start(kernel& node) override
    {
        const time_point started = ms_clock::now();
        tracker_ = std::make_unique<quota_view_tracker>(node.instance(), started);
        constexpr double two_to_the_64 = 18446744073709551616.0;
        quota_environment environment;
        environment.now = [] { return ms_clock::now(); };
        environment.phase = static_cast<double>(node.instance()) / two_to_the_64;
        environment.ask = [this, &node](const node_reference& target, const quota_request& request,
                                        milliseconds timeout, peer_client::quota_done done) {
            if (stopping_) {
                done(absl::UnavailableError("this node stops"));
                return;
            }
            node.peers().acquire_quota(target, request, timeout, std::move(done));
        };
        quotas_ =
            std::make_unique<quota_service>(node.instance(), std::move(environment),
                                            node.get<configuration>().current(), node.stats());
        node.provide(*quotas_);
        node.control().repeat(check_interval, [this, &node] { update_view(node); });
        return absl::OkStatus();
    }

    void stop(kernel& /*node*/) override { stopping_ = true; }

private:
    /// Runs on the control thread.
    void update_view(kernel& node)
    {
        if (!quotas_->has_limits()) {
            return;
        }
        const time_point now = ms_clock::now();
        auto& members = node.get<membership>();
        auto routes = members.table().load();
        if (routes == routes_ && now - rebuilt_ < rebuild_interval) {
            return;
        }
        routes_ = std::move(routes);
        rebuilt_ = now;
        quotas_->set_view(tracker_->update(members.members(), members.time_since_last_message(),
                                           members.recorded_addresses(), now));
        quotas_->drop_idle();
    }

    std::atomic<bool> stopping_ = false;
    std::unique_ptr<quota_view_tracker> tracker_;
    std::unique_ptr<quota_service> quotas_;
    std::shared_ptr<const routing_table> routes_;
    time_point rebuilt_;
};

const registration<quota_component, component> registered{"quota"};

} // namespace
} // namespace chestnutstand
