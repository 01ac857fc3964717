#include "chestnutstand/config/configuration.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/kernel.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace chestnutstand {
namespace {

/// Passes the calls that the dispatcher sends to this node to its executor.
class executor_adapter final : public local_executor {
public:
    executor_adapter(std::uint64_t instance, executor& local)
        : instance_{instance}, executor_{local}
    {
    }

    void execute(const service_call& call, call_done done) override
    {
        executor_.execute(instance_, call, done);
    }

private:
    std::uint64_t instance_;
    executor& executor_;
};

/// Provides the dispatcher.
class dispatcher_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "executor", "membership"};
    }

    absl::Status start(kernel& node) override
    {
        local_ = std::make_unique<executor_adapter>(node.instance(), node.get<executor>());
        dispatcher_options options;
        options.self_instance = node.instance();
        options.data_centre = node.config().data_centre;
        options.seed = node.instance();
        options.retry_limits = limits_from(node.config().retry_limits);
        options.run_after = [&node](milliseconds delay, std::function<void()> work) {
            node.control().post_after(delay, std::move(work));
        };
        dispatcher_ = std::make_unique<dispatcher>(
            node.peers(), local_.get(), node.get<membership>().table(),
            node.get<configuration>().current(), node.stats(), options);
        node.provide(*dispatcher_);
        return absl::OkStatus();
    }

    void begin_drain(kernel& node) override { dispatcher_->begin_drain(node.drain_cutoff()); }

    void reload(kernel& node) override
    {
        dispatcher_->set_retry_limits(limits_from(node.config().retry_limits));
    }

private:
    static std::optional<fleet_retry_limits> limits_from(const retry_settings& limits)
    {
        if (limits.window_s <= 0.0) {
            return std::nullopt;
        }
        return fleet_retry_limits{limits.ratio, limits.slack,
                                  milliseconds{limits.window_s * 1000.0}};
    }

    std::unique_ptr<executor_adapter> local_;
    std::unique_ptr<dispatcher> dispatcher_;
};

const registration<dispatcher_component, component> registered{"dispatcher"};

} // namespace
} // namespace chestnutstand
