#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/config/settings.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/name_table.h"
#include "chestnutstand/support/registry.h"
#include "chestnutstand/transport/http_client.h"
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

    /// Settings that may change while the node runs have changed.
    virtual void reload(kernel& node);

    /// A planned stop begins: take no new work.
    virtual void begin_drain(kernel& node);

    /// The lame-duck period is over: refuse everything that is new.
    virtual void end_lame_duck(kernel& node);

    /// Whether no accepted work is left.
    virtual bool idle() const { return true; }

    /// Called in reverse order of start.
    virtual void stop(kernel& node);
};

/// Ports that the node's sockets are bound to.
struct node_ports {
    std::uint16_t caller = 0;
    std::uint16_t admin = 0;
    std::uint16_t node = 0;
    std::uint16_t gossip = 0;
};

/// Keys of the settings file that a running node follows.
inline constexpr std::array<std::string_view, 5> reloadable_settings{
    "log_level", "retry_limits", "lame_duck_ms", "drain_limit_ms", "grace_s"};

/// What all components of a node share, and the order in which they start and stop.
class kernel {
public:
    explicit kernel(settings own_settings);
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    ~kernel();

    /// Starts all registered components.
    absl::Status start();

    /// Takes over the reloadable settings. Not during a drain.
    void reload(const settings& changed);

    /// Drains, waits until the node is idle or the drain limit has passed, and stops. Returns
    /// whether the node was idle.
    bool drain_and_stop();

    const settings& config() const { return settings_; }
    /// Random identity of this process.
    std::uint64_t instance() const { return instance_; }
    bool draining() const { return draining_; }
    /// Whether the upstream tells by itself when it leaves, so that it gets calls during the
    /// lame-duck period of a node that is only restarted.
    bool upstream_outlives_drain() const
    {
        return settings_.interface_for_callers == caller_interface::routes;
    }
    /// Each port is set by the component that binds it, at its start.
    node_ports& ports() { return ports_; }
    metrics& stats() { return metrics_; }
    control_loop& control() { return control_; }
    http_client& http() { return *http_; }
    peer_client& peers() { return *peers_; }

    /// Makes an object of a component known to the others under its type.
    template <typename T>
    void provide(T& object)
    {
        const std::lock_guard lock{mutex_};
        objects_[std::type_index{typeid(T)}] = &object;
    }

    /// An object provided by another component, or null.
    template <typename T>
    T* find() const
    {
        const std::lock_guard lock{mutex_};
        const auto found = objects_.find(std::type_index{typeid(T)});
        return found == objects_.end() ? nullptr : static_cast<T*>(found->second);
    }

    /// As find, for a declared dependency, which must exist.
    template <typename T>
    T& get() const
    {
        T* object = find<T>();
        require(object != nullptr);
        return *object;
    }

private:
    /// Stops the process when an invariant is broken.
    static void require(bool invariant);

    absl::Status start_with_dependencies(std::string_view name);
    bool all_idle() const;

    settings settings_;
    std::uint64_t instance_;
    std::atomic<bool> draining_ = false;
    node_ports ports_;
    metrics metrics_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<peer_client> peers_;
    mutable std::mutex mutex_;
    std::map<std::type_index, void*> objects_;
    std::map<std::string, std::unique_ptr<component>, std::less<>> components_;
    std::vector<component*> started_;
    control_loop control_;
};

} // namespace chestnutstand
