#include "chestnutstand/node/kernel.h"

#include "chestnutstand/support/log.h"
#include "chestnutstand/transport/node_server.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds idle_poll_interval{10};
/// Time from the last responses of a drain to the end of the process, in which they reach callers
/// within a region; at most the share of the drain limit.
constexpr milliseconds reply_window{150};
constexpr double max_reply_window_share = 0.05;
/// Largest response of one call.
constexpr std::size_t max_response_bytes = std::size_t{64} << 20U;

std::uint64_t random_instance()
{
    std::random_device entropy;
    const std::uint64_t instance =
        (static_cast<std::uint64_t>(entropy()) << 32U) | static_cast<std::uint64_t>(entropy());
    // 0 means no instance.
    return instance == 0 ? 1 : instance;
}

http_client_limits response_limits(const std::shared_ptr<memory_budget>& memory)
{
    const std::size_t largest = memory->largest_body();
    return {std::min(max_response_bytes, largest), largest, memory};
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

void component::reload(kernel& /*node*/) {}
void component::begin_drain(kernel& /*node*/) {}
void component::end_lame_duck(kernel& /*node*/) {}
void component::finish_drain(kernel& /*node*/) {}
void component::stop(kernel& /*node*/) {}

kernel::kernel(settings initial_settings)
    : settings_{std::move(initial_settings)}, instance_{random_instance()},
      memory_{std::make_shared<memory_budget>(memory_budget_limits_for(settings_.memory_limit_mb))},
      http_{make_http_client(response_limits(memory_))}, peers_{settings_.carrier ==
                                                                        node_carrier::http
                                                                    ? make_http_peer_client(*http_)
                                                                    : make_grpc_peer_client()}
{
}

kernel::~kernel()
{
    control_.stop();
    // Destroy the clients first, because their last callbacks may use components.
    http_.reset();
    peers_.reset();
}

void kernel::require(bool found)
{
    if (!found) {
        log_event(
            log_level::error,
            "kernel::get() found no object of the requested type: check the dependencies of the "
            "component that asked for it");
        std::abort();
    }
}

absl::Status kernel::start()
{
    for (const auto& [name, make] : registry<component>::instance().factories()) {
        absl::Status status = start_with_dependencies(name);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status kernel::start_with_dependencies(std::string_view name)
{
    if (components_.find(name) != components_.end()) {
        return absl::OkStatus();
    }
    auto created = registry<component>::instance().make(name);
    if (!created) {
        return absl::InternalError("no component named " + std::string{name});
    }
    component& added = *created;
    components_.emplace(name, std::move(created));
    for (const std::string_view dependency : added.dependencies()) {
        absl::Status status = start_with_dependencies(dependency);
        if (!status.ok()) {
            return status;
        }
    }
    absl::Status status = added.start(*this);
    if (status.ok()) {
        started_.push_back(&added);
    }
    return status;
}

bool kernel::all_idle() const
{
    for (const component* started : started_) {
        if (!started->idle()) {
            return false;
        }
    }
    return true;
}

bool kernel::wait_until_idle(time_point limit) const
{
    while (!all_idle()) {
        if (ms_clock::now() >= limit) {
            return false;
        }
        sleep_for(idle_poll_interval);
    }
    return true;
}

void kernel::reload(const settings& changed)
{
    settings_.lowest_log_level = changed.lowest_log_level;
    settings_.retry_limits = changed.retry_limits;
    settings_.lame_duck_ms = changed.lame_duck_ms;
    settings_.drain_limit_ms = changed.drain_limit_ms;
    settings_.grace_s = changed.grace_s;
    set_log_level(settings_.lowest_log_level);
    for (component* started : started_) {
        started->reload(*this);
    }
}

bool kernel::drain_and_stop()
{
    const milliseconds limit{settings_.drain_limit_ms};
    const time_point drain_end = ms_clock::now() + limit;
    drain_cutoff_ = drain_end - std::min(reply_window, limit * max_reply_window_share);
    draining_ = true;
    for (component* started : started_) {
        started->begin_drain(*this);
    }
    log_event(log_level::info, "node drains");
    // Give peers and callers time to learn of the drain.
    sleep_for(milliseconds{settings_.lame_duck_ms});
    for (component* started : started_) {
        started->end_lame_duck(*this);
    }
    wait_until_idle(drain_cutoff_);
    for (component* started : started_) {
        started->finish_drain(*this);
    }
    // A node that was paused may find that the end has passed.
    const bool idle = wait_until_idle(std::max(drain_end, ms_clock::now() + reply_window));
    for (auto it = started_.rbegin(); it != started_.rend(); ++it) {
        (*it)->stop(*this);
    }
    control_.stop();
    return idle;
}

} // namespace chestnutstand
