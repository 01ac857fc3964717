#pragma once

#include "chestnutstand/routing/priority_order.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/call.h"

#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chestnutstand {

/// Load of a peer at one moment, as seen by calls of one urgency index.
struct load_view {
    /// Calls sent from this node that have not ended.
    std::uint32_t own_in_flight = 0;
    /// Calls sent from this node since the last report was received.
    std::uint32_t sent_since_report = 0;
    /// From the last report, like the next two; zero without one.
    std::uint32_t in_flight = 0;
    /// Queued calls of the same or a lower urgency index, that is, of classes at least as urgent.
    std::uint32_t queued_ahead = 0;
    std::uint32_t limit = 0;
    /// Moving average of the latency of calls, including the network; zero while unknown.
    milliseconds latency{0};
    /// Response time of the upstream from the last report, excluding the network.
    milliseconds reported_latency{0};
    /// From the last report: the factor by which work takes longer now, 1 for the usual time.
    double slowdown = 1.0;
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

    load_view read(std::size_t urgency_index, time_point now) const;

    /// Time without a load report while calls of this node have been in flight without a break: it
    /// counts from the last report or from the start of the first of these calls, whichever was
    /// later. Zero while no call is in flight. Only record_report() resets it, not every reply.
    milliseconds silence(time_point now) const;

    /// Moving average of the latency of calls, including the network; zero while unknown.
    milliseconds latency(time_point now) const;

    /// Marks the peer as not to be used for new calls until then, for instance after a failed
    /// connection. An earlier time than the one already set has no effect.
    void avoid_until(time_point until);
    /// Called when the peer responds again. Also discards the latency, which was measured before
    /// the failure and no longer describes the peer.
    void clear_avoidance();
    /// Whether avoid_until() is in effect; regardless of an ejection by outlier_detector.
    bool is_avoided(time_point now) const;

private:
    milliseconds decayed_latency(time_point now) const;

    /// Smaller than std::mutex, whose size also depends on the architecture.
    mutable absl::Mutex mutex_;
    std::uint32_t own_in_flight_ = 0;
    std::uint32_t sent_since_report_ = 0;
    std::uint16_t in_flight_ = 0;
    std::uint16_t limit_ = 0;
    /// Queue lengths by urgency index.
    std::array<std::uint16_t, urgency_index_count> queued_{};
    float latency_ms_ = 0.0F;
    float reported_latency_ms_ = 0.0F;
    float slowdown_ = 1.0F;
    /// Default value while there is no report.
    time_point reported_at_{};
    time_point latency_updated_at_{};
    /// Start of the time that silence() returns.
    time_point silent_since_{};
    time_point avoided_until_{};
};

} // namespace chestnutstand
