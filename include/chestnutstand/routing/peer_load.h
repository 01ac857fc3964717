#pragma once

#include "chestnutstand/routing/priority_order.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/call.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

namespace chestnutstand {

/// Load of a peer at one moment, as seen by calls of one priority rank.
struct load_view {
    /// Calls sent from this node that have not ended.
    std::uint32_t own_in_flight = 0;
    /// Calls sent from this node since the last report was received.
    std::uint32_t sent_since_report = 0;
    /// From the last report, like the next two; zero without one.
    std::uint32_t in_flight = 0;
    /// Queued calls of the same or a more urgent priority rank.
    std::uint32_t queued_ahead = 0;
    std::uint32_t limit = 0;
    /// Moving average of the latency of calls, including the network; zero while unknown.
    milliseconds latency{0};
    /// Response time of the upstream from the last report, excluding the network.
    milliseconds reported_latency{0};
    /// From the last report: current duration of work as a multiple of its usual duration.
    double pace = 1.0;
    /// Age of the last report; empty without one.
    std::optional<milliseconds> report_age;
};

/// Load of one peer as known to this node. Safe for concurrent use; a mutex guards all fields, so
/// that readers never see a partly updated report.
class peer_load {
public:
    /// Counts a call that is about to be sent.
    void begin_call(time_point now);

    /// Ends a call that was counted by begin_call. The elapsed time of a failed call is only a
    /// lower bound of the latency: a timeout shows that the peer is slow, but a fast failure must
    /// not make it look fast.
    void end_call(milliseconds elapsed, bool succeeded, time_point now);

    /// Stores a load report that came with a reply or a probe.
    void record_report(const load_report& report, const priority_order& order, time_point now);

    load_view read(std::size_t rank, time_point now) const;

    /// Time since the last report, or since calls of this node began to be in flight if that is
    /// later; zero while none is.
    milliseconds silence(time_point now) const;

    /// Moving average of the latency of calls, including the network; zero while unknown.
    milliseconds latency(time_point now) const;

    /// Marks the peer as not to be used for new calls until then, for instance after a failed
    /// connection. An earlier time than the one already set has no effect.
    void avoid_until(time_point until);
    /// Called when the peer responds again. Also discards the latency, which was measured before
    /// the failure and no longer describes the peer.
    void clear_avoidance();
    bool is_avoided(time_point now) const;

private:
    milliseconds decayed_latency(time_point now) const;

    mutable std::mutex mutex_;
    std::uint32_t own_in_flight_ = 0;
    std::uint32_t sent_since_report_ = 0;
    std::uint16_t in_flight_ = 0;
    std::uint16_t limit_ = 0;
    /// Queue lengths by priority rank.
    std::array<std::uint16_t, priority_rank_count> queued_{};
    float latency_ms_ = 0.0F;
    float reported_latency_ms_ = 0.0F;
    float pace_ = 1.0F;
    /// Default value while there is no report.
    time_point reported_at_{};
    time_point latency_updated_at_{};
    /// Start of the time that silence() returns.
    time_point silent_since_{};
    time_point avoided_until_{};
};

} // namespace chestnutstand
