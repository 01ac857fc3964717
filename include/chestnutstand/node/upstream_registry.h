#pragma once

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace chestnutstand {

enum class upstream_state : std::uint8_t { ready, draining };

inline constexpr name_table<upstream_state, 2> upstream_state_names{{"ready", "draining"}};

/// One heartbeat of an upstream.
struct upstream_heartbeat {
    local_upstream upstream;
    upstream_state state = upstream_state::ready;
    /// Grows with each heartbeat of one process; 0 when the upstream does not count.
    std::uint64_t sequence = 0;
    /// Unix time in milliseconds at which the process started; 0 when unknown.
    std::uint64_t born_ms = 0;
    /// How much longer the process is slow after its start.
    milliseconds cold_left{0};
};

enum class heartbeat_verdict : std::uint8_t {
    accepted,
    outdated, ///< Late, or of a process before the one that is known.
};

/// Lease of the upstream beside this node. An upstream that has said that it leaves is not admitted
/// again until another process starts. Used on the control thread only.
class upstream_registry {
public:
    using listener = std::function<void(const std::optional<local_upstream>&)>;

    /// Asks an upstream whether it is healthy and stays; ends with a call of confirm() if so.
    using verifier = std::function<void(const local_upstream& upstream, std::uint64_t born_ms)>;

    /// The listener runs when an upstream appears, changes or goes.
    explicit upstream_registry(listener changed);

    /// Upstream processes that were born before this time (Unix, milliseconds) may have told an
    /// earlier process of this node that they leave, and a late heartbeat may contradict that. They
    /// are admitted once they confirm, or once several heartbeats in a row say that they are ready.
    void verify_born_before(std::uint64_t unix_ms, verifier verify);

    /// The process has answered that it is healthy and stays.
    void confirm(const std::string& id, std::uint64_t born_ms, time_point now);

    /// Registers the upstream or renews its lease. When it returns after a heartbeat that says
    /// draining, the listener has withdrawn the upstream.
    heartbeat_verdict announce(const upstream_heartbeat& heartbeat, time_point now);

    /// Registers an upstream that says nothing about its process.
    void announce(local_upstream upstream, time_point now);

    /// The process with the id leaves, whether it was heard of before or not; born_ms is 0 when its
    /// start is not known.
    void leave(const std::string& id, std::uint64_t born_ms, std::uint64_t unix_now_ms);

    void withdraw();

    /// Withdraws the upstream when its lease has expired.
    void expire(time_point now);

    const std::optional<local_upstream>& current() const { return current_; }

private:
    /// A process that has left; every process with the id that was born until then counts as it.
    struct departure {
        std::string id;
        std::uint64_t born_until_ms = 0;
    };

    bool is_outdated(const upstream_heartbeat& heartbeat) const;
    bool has_left(const upstream_heartbeat& heartbeat) const;
    bool may_admit(const upstream_heartbeat& heartbeat);

    listener changed_;
    std::optional<local_upstream> current_;
    time_point lease_end_;
    /// The newest process that was heard of.
    std::string id_;
    std::uint64_t born_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<departure> departures_;
    std::uint64_t verify_before_ms_ = 0;
    verifier verify_;
    /// Ready heartbeats of the newest process while it is not confirmed.
    std::uint32_t unconfirmed_ = 0;
    bool confirmed_ = false;
    /// What it registered with last.
    local_upstream candidate_;
};

} // namespace chestnutstand
