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
    /// Increases with each heartbeat of one process; 0 when the upstream sends no sequence numbers.
    std::uint64_t sequence = 0;
    /// Unix time in milliseconds at which the process started; 0 when unknown.
    std::uint64_t born_ms = 0;
    /// Remaining warm-up time, during which a newly started process is slow.
    milliseconds warmup_left{0};
};

enum class heartbeat_result : std::uint8_t {
    accepted,
    outdated, ///< Arrived out of order, or comes from an older process than the newest known one.
};

/// Holds the registration of the local upstream and its lease. An upstream registers in one of two
/// ways. One that sends heartbeats (PUT /upstreams/{id}) is admitted by announce(): a process that
/// has deregistered or reported that it drains is not admitted again; a newer process is. One that
/// uses POST /register is admitted by admit() unconditionally. Used on the control thread only.
class upstream_registry {
public:
    using listener = std::function<void(const std::optional<local_upstream>&)>;

    /// Checks asynchronously that an upstream is healthy and not about to leave; calls confirm() if
    /// it is. Does nothing while there is no way to ask it.
    using verifier = std::function<void(const local_upstream& upstream, std::uint64_t born_ms)>;

    /// The listener runs when the upstream is admitted, changes or is withdrawn.
    explicit upstream_registry(listener changed);

    /// Called with the end of the lease each time the upstream is admitted or its lease renewed,
    /// before the listener.
    void on_lease(std::function<void(time_point end)> renewed) { renewed_ = std::move(renewed); }

    /// Sets the time (Unix, milliseconds) before which a process must have started to be verified,
    /// and the function that verifies it. Such a process may have deregistered from an earlier
    /// process of this node, and a delayed heartbeat of it may arrive afterwards. So it is admitted
    /// only when it is confirmed or has sent several ready heartbeats. All other processes are
    /// admitted at their first ready heartbeat.
    void verify_processes_born_before(std::uint64_t unix_ms, verifier verify);

    /// Verifies the newest process now if it waits for its admission. Called when a new document is
    /// in force, which may name the health path that the process is asked at.
    void verify_waiting();

    /// Admits a process whose health path has responded with success. No effect unless it is the
    /// newest known process, has not left and is not confirmed yet.
    void confirm(const std::string& id, std::uint64_t born_ms, time_point now);

    /// Handles a heartbeat. A ready one admits the upstream or renews its lease, unless the process
    /// has left or still has to be verified. A draining one withdraws the upstream: the listener
    /// has run when this method returns.
    heartbeat_result announce(const upstream_heartbeat& heartbeat, time_point now);

    /// Admits an upstream or renews its lease, without any check. Called directly for an upstream
    /// that registers without heartbeats and so reports no process id, start time or state, and as
    /// the last step of announce() and confirm().
    void admit(local_upstream upstream, time_point now);

    /// Records that the process with the id leaves, even if it is not known yet. born_ms is its
    /// start time, or 0 when that is not known.
    void leave(const std::string& id, std::uint64_t born_ms, std::uint64_t unix_now_ms);

    /// Removes the current upstream, if any, without recording that its process has left.
    void withdraw();

    /// Withdraws the upstream when its lease has expired.
    void expire(time_point now);

    const std::optional<local_upstream>& current() const { return current_; }

private:
    /// A process that has left. Applies to all processes with the id that started at or before
    /// born_until_ms.
    struct departure {
        std::string id;
        std::uint64_t born_until_ms = 0;
    };

    bool is_outdated(const upstream_heartbeat& heartbeat) const;
    bool has_left(const std::string& id, std::uint64_t born_ms) const;
    /// Decides whether a ready heartbeat admits its process now. For an unconfirmed process, stores
    /// the upstream and counts the heartbeat; confirms the process at the last of the required
    /// heartbeats, and starts a verification before.
    bool check_admission(const upstream_heartbeat& heartbeat, bool is_repeated);

    listener changed_;
    std::function<void(time_point)> renewed_ = [](time_point) {};
    std::optional<local_upstream> current_;
    time_point lease_end_;
    /// Id, start time and last sequence number of the newest known process.
    std::string id_;
    std::uint64_t born_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<departure> departures_;
    std::uint64_t verify_before_ms_ = 0;
    verifier verify_;
    /// Different ready heartbeats that the newest process has sent while it was not confirmed.
    std::uint32_t unconfirmed_heartbeats_ = 0;
    bool confirmed_ = false;
    /// Upstream in the last ready heartbeat of the newest process while it was not confirmed.
    local_upstream unconfirmed_upstream_;
};

} // namespace chestnutstand
