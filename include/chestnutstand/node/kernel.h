#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/config/settings.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/name_table.h"
#include "chestnutstand/support/registry.h"
#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/memory_budget.h"
#include "chestnutstand/transport/peer_client.h"

#include <absl/status/status.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <typeindex>
#include <vector>

namespace chestnutstand {

class kernel;

/// Plug-in of a node. Components register themselves in registry<component>.
class component {
public:
    component() = default;
    component(const component&) = delete;
    component& operator=(const component&) = delete;
    virtual ~component() = default;

    /// Names of the components that must be started before this one.
    virtual std::vector<std::string_view> dependencies() const { return {}; }

    virtual absl::Status start(kernel& node) = 0;

    /// Applies the current values of the reloadable settings.
    virtual void reload(kernel& node);

    /// Begins a planned stop with its lame-duck period, in which the component lets peers and
    /// callers know that the node will stop. It may still accept work until end_lame_duck(), and
    /// ingress does; a component may also refuse work from now on.
    virtual void begin_drain(kernel& node);

    /// Ends the lame-duck period: all new work must be refused from now on.
    virtual void end_lame_duck(kernel& node);

    /// Answers the callers whose calls still run, as the process ends shortly. Their responses must
    /// be on their way before idle() is true again.
    virtual void finish_drain(kernel& node);

    /// Whether all accepted work has been completed and its responses have been written.
    virtual bool idle() const { return true; }

    /// Called in reverse order of start.
    virtual void stop(kernel& node);
};

/// Ports to which the node's sockets are bound.
struct node_ports {
    std::uint16_t caller = 0;
    std::uint16_t admin = 0;
    std::uint16_t node = 0;
    std::uint16_t gossip = 0;
};

/// Keys of the settings file whose values can change while the node runs.
inline constexpr std::array<std::string_view, 5> reloadable_settings{
    "log_level", "retry_limits", "lame_duck_ms", "drain_limit_ms", "grace_s"};

/// Starts and stops the components of a node in dependency order and provides the objects that they
/// share.
class kernel {
public:
    explicit kernel(settings initial_settings);
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    ~kernel();

    /// Starts all registered components; returns the error of the first one that fails.
    absl::Status start();

    /// Applies the reloadable settings. Must not be called during a drain.
    void reload(const settings& changed);

    /// Drains, waits until the node is idle or the drain limit has passed, and stops. Returns
    /// whether the node was idle.
    bool drain_and_stop();

    const settings& config() const { return settings_; }
    /// Random id of this process, never 0.
    std::uint64_t instance() const { return instance_; }
    bool draining() const { return draining_; }
    /// Time at which a drain answers the callers whose calls still run, a little before it ends the
    /// process. Set before the components drain.
    time_point drain_cutoff() const { return drain_cutoff_; }
    /// Whether the upstream itself reports to the node that it leaves, with a draining heartbeat or
    /// DELETE /upstreams/{id}. This is taken to be the case where callers use routes. A drain of
    /// the node then does not mean that its upstream stops: the node keeps running calls on it, and
    /// other members see no drain, until the end of the lame-duck period. Otherwise both change at
    /// the start of the drain.
    bool upstream_reports_departure() const
    {
        return settings_.interface_for_callers == caller_interface::routes;
    }
    /// Each port is set by the component that binds it, when that component starts.
    node_ports& ports() { return ports_; }
    metrics& stats() { return metrics_; }
    control_loop& control() { return control_; }
    /// Memory that this process may use for bodies.
    const std::shared_ptr<memory_budget>& memory() const { return memory_; }
    http_client& http() { return *http_; }
    peer_client& peers() { return *peers_; }

    /// Makes an object available to other components under its type. The caller keeps ownership.
    template <typename T>
    void provide(T& object)
    {
        const std::lock_guard lock{mutex_};
        objects_[std::type_index{typeid(T)}] = &object;
    }

    /// Returns the object of this type that a component has provided, or null.
    template <typename T>
    T* find() const
    {
        const std::lock_guard lock{mutex_};
        const auto found = objects_.find(std::type_index{typeid(T)});
        return found == objects_.end() ? nullptr : static_cast<T*>(found->second);
    }

    /// Like find(), for an object of a declared dependency; aborts the process if there is none.
    template <typename T>
    T& get() const
    {
        T* object = find<T>();
        require(object != nullptr);
        return *object;
    }

private:
    /// Aborts the process when get() has found no object. Knows neither the type nor the component.
    static void require(bool found);

    absl::Status start_with_dependencies(std::string_view name);
    bool all_idle() const;
    /// Waits until all components are idle or the limit has passed. Returns whether they are.
    bool wait_until_idle(time_point limit) const;

    settings settings_;
    std::uint64_t instance_;
    std::atomic<bool> draining_ = false;
    time_point drain_cutoff_{};
    node_ports ports_;
    metrics metrics_;
    std::shared_ptr<memory_budget> memory_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<peer_client> peers_;
    mutable std::mutex mutex_;
    std::map<std::type_index, void*> objects_;
    std::map<std::string, std::unique_ptr<component>, std::less<>> components_;
    std::vector<component*> started_;
    control_loop control_;
};

} // namespace chestnutstand
