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
    /// Calls sent from this node that have not been answered.
    std::uint32_t own_in_flight = 0;
    /// Calls sent from this node since the last report was received.
    std::uint32_t sent_since_report = 0;
    /// From the last report; zero without one.
    std::uint32_t in_flight = 0;
    std::uint32_t queued_ahead = 0;
    std::uint32_t limit = 0;
    /// Recent latency of replies, network included; zero while it is not known.
    milliseconds latency{0};
    /// Response time of the upstream from the last report, without the network.
    milliseconds reported_latency{0};
    /// From the last report: how long work takes there, 1 for the usual time.
    double pace = 1.0;
    /// Age of the last report; empty without one.
    std::optional<milliseconds> report_age;
};

/// What this node knows of the load of one peer. Safe for concurrent use; one small mutex, so that
/// a report is never read half updated.
class peer_load {
public:
    /// Counts a call as sent.
    void begin_call(time_point now);

    /// Ends a call that was counted by begin_call. Without a good answer from the upstream the
    /// elapsed time is only a lower bound of the latency: a timeout shows that the peer is slow, a
    /// fast failure must not make it look fast.
    void end_call(milliseconds elapsed, bool answered, time_point now);

    /// Stores the report of a reply or a probe.
    void record_report(const load_report& report, const priority_order& order, time_point now);

    load_view read(std::size_t rank, time_point now) const;

    /// How long nothing has been heard of the peer although a call is unanswered; zero while none
    /// is.
    milliseconds silence(time_point now) const;

    /// Recent latency of replies, network included; zero while it is not known.
    milliseconds latency(time_point now) const;

    /// Keeps new calls away until then, for instance after a failed connection.
    void avoid_until(time_point until);
    /// The peer answers again. Latencies from before say nothing of it now.
    void stop_avoiding();
    bool avoided(time_point now) const;

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
    /// The start of the clock while there is no report.
    time_point reported_at_{};
    time_point replied_at_{};
    /// Since when the silence is counted.
    time_point silent_since_{};
    time_point avoided_until_{};
};

} // namespace chestnutstand
