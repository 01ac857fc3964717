#include "chestnutstand/config/configuration.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/kernel.h"
#include "chestnutstand/node/upstream_registry.h"
#include "chestnutstand/support/log.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {
namespace {

constexpr milliseconds lease_check_interval{500};
constexpr milliseconds health_timeout{500};
constexpr milliseconds extra_key_lifetime{60'000};
// A queued call whose deadline or queue timeout has passed is refused when another call completes,
// or else by the next poll, so at most this much too late. The polls of an idle node would take
// most of its processor time if the interval were as short as 10 ms.
constexpr milliseconds poll_interval{40};

/// Provides the executor and the lease of the local upstream.
class executor_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override { return {"config"}; }

    absl::Status start(kernel& node) override
    {
        key_table_limits limits;
        // A candidate must add_recent_change a key for longer than the owner of the key may ask
        // about it.
        limits.lifetime += extra_key_lifetime;
        keys_ =
            std::make_unique<executor_keys>(node.instance(), node.config().cluster_secret, limits);
        executor_ = std::make_unique<executor>(
            node.instance(), node.http(), node.stats(), *keys_,
            [&node] {
                const auto* config = node.find<configuration>();
                return config != nullptr ? config->current().load() : nullptr;
            },
            node.config().headers);
        registry_ = std::make_unique<upstream_registry>(
            [this, &node](const std::optional<local_upstream>& upstream) {
                executor_->set_upstream(upstream);
                if (auto* members = node.find<membership>()) {
                    members->set_local_upstream(upstream ? upstream->service : "",
                                                upstream ? upstream->slots : 0);
                }
            });
        registry_->on_lease([this](time_point end) { executor_->renew_lease(end); });
        executor_->on_departure([this, &node](const std::string& id, std::uint64_t born_ms) {
            node.control().post(
                [this, id, born_ms] { registry_->leave(id, born_ms, unix_now_ms()); });
        });
        registry_->verify_processes_born_before(
            unix_now_ms(), [this, &node](const local_upstream& upstream, std::uint64_t born_ms) {
                verify_upstream(node, upstream, born_ms);
            });
        node.control().post([this, &node] {
            node.get<configuration>().on_advance(
                [this](std::uint64_t /*position*/) { registry_->verify_waiting(); });
        });
        node.provide(*keys_);
        node.provide(*executor_);
        node.provide(*registry_);
        node.control().repeat(lease_check_interval, [this] { registry_->expire(ms_clock::now()); });
        node.control().repeat(poll_interval, [this, &node] {
            executor_->set_evacuated(is_evacuated(node));
            executor_->poll(ms_clock::now());
        });
        return absl::OkStatus();
    }

    void begin_drain(kernel& node) override
    {
        executor_->refuse_calls_beyond(node.drain_cutoff());
        if (!node.upstream_reports_departure()) {
            executor_->begin_drain();
        }
    }
    void end_lame_duck(kernel& /*node*/) override { executor_->begin_drain(); }
    bool idle() const override { return executor_->idle(); }

private:
    static bool is_evacuated(kernel& node)
    {
        auto* config = node.find<configuration>();
        auto* evacuations = config != nullptr ? config->evacuations() : nullptr;
        const auto names = evacuations != nullptr ? evacuations->evacuated().load() : nullptr;
        return names && names->contains(node.config().data_centre);
    }

    /// Confirms an upstream whose health path responds with status 200. Without a document or a
    /// service in it, the node runs no calls, and asks when a document with the service is in
    /// force. Without a health path, only further heartbeats show that the upstream is at work.
    void verify_upstream(kernel& node, const local_upstream& upstream, std::uint64_t born_ms)
    {
        const auto confirm = [this, &node, id = upstream.id, born_ms] {
            node.control().post(
                [this, id, born_ms] { registry_->confirm(id, born_ms, ms_clock::now()); });
        };
        const auto* config = node.find<configuration>();
        const auto active_document = config != nullptr ? config->current().load() : nullptr;
        const auto* service =
            active_document ? active_document->find_service(upstream.service) : nullptr;
        if (service == nullptr || service->health_path.empty()) {
            log_event(log_level::info, "upstream not asked before its admission",
                      {{"upstream", upstream.id},
                       {"reason", std::string{active_document == nullptr ? "no document"
                                              : service == nullptr       ? "unknown service"
                                                                         : "no health path"}}});
            return;
        }
        node.http().send(upstream.base_url, make_probe_request(service->health_path),
                         health_timeout, [this, confirm, upstream](const http_result& result) {
                             if (result.error == http_error::none) {
                                 executor_->observe_verification(upstream, result.response);
                             }
                             const bool healthy =
                                 result.error == http_error::none && result.response.status == 200;
                             log_event(log_level::info, "upstream asked before its admission",
                                       {{"upstream", upstream.id},
                                        {"healthy", healthy},
                                        {"status", std::int64_t{result.response.status}}});
                             if (healthy) {
                                 confirm();
                             }
                         });
    }

    std::unique_ptr<executor_keys> keys_;
    std::unique_ptr<executor> executor_;
    std::unique_ptr<upstream_registry> registry_;
};

const registration<executor_component, component> registered{"executor"};

} // namespace
} // namespace chestnutstand
