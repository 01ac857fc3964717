#include "chestnutstand/routing/peer_load.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chestnutstand {
namespace {

/// Weight of the newest sample in the moving average of the latency. With 0.2 the variance of
/// single service times hides the differences between members, which costs 1 to 2 ms at p99.9 in
/// steady load (policy_benchmark).
constexpr double latency_average_weight = 0.1;

/// Half-life of the latency while no calls end. A peer that was once slow gets no calls, so that
/// without decay its latency would keep traffic away permanently.
constexpr milliseconds latency_half_life{1000};

/// Lower bound of the factor by which the latency decays.
constexpr double min_decay = 0.125;

std::uint16_t clamp_to_uint16(std::uint32_t value)
{
    constexpr std::uint32_t highest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, highest));
}

} // namespace

void peer_load::begin_call(time_point now)
{
    const absl::MutexLock lock{&mutex_};
    if (own_in_flight_ == 0) {
        silent_since_ = now;
    }
    ++own_in_flight_;
    ++sent_since_report_;
}

void peer_load::end_call(milliseconds elapsed, bool succeeded, time_point now)
{
    const absl::MutexLock lock{&mutex_};
    if (own_in_flight_ > 0) {
        --own_in_flight_;
    }
    const double sample = elapsed.count();
    if (!succeeded && sample <= latency_ms_) {
        return;
    }
    const double previous = latency_ms_ > 0.0F ? decayed_latency(now).count() : sample;
    latency_ms_ = static_cast<float>(previous + latency_average_weight * (sample - previous));
    latency_updated_at_ = now;
}

void peer_load::record_report(const load_report& report, const priority_order& order,
                              time_point now)
{
    const absl::MutexLock lock{&mutex_};
    in_flight_ = clamp_to_uint16(report.in_flight);
    limit_ = clamp_to_uint16(report.limit);
    queued_.fill(0);
    for (const queue_length& queue : report.queues) {
        std::uint16_t& length = queued_[order.urgency_index(queue.priority)];
        length = clamp_to_uint16(length + queue.length);
    }
    reported_latency_ms_ = static_cast<float>(report.latency.count());
    slowdown_ = static_cast<float>(report.pace);
    sent_since_report_ = 0;
    silent_since_ = now;
    reported_at_ = now;
}

load_view peer_load::read(std::size_t urgency_index, time_point now) const
{
    const absl::MutexLock lock{&mutex_};
    load_view view;
    view.own_in_flight = own_in_flight_;
    view.sent_since_report = sent_since_report_;
    view.in_flight = in_flight_;
    for (std::size_t i = 0; i <= urgency_index && i < queued_.size(); ++i) {
        view.queued_ahead += queued_[i];
    }
    view.limit = limit_;
    view.latency = decayed_latency(now);
    view.reported_latency = milliseconds{reported_latency_ms_};
    view.slowdown = slowdown_;
    if (reported_at_ != time_point{}) {
        view.report_age = now - reported_at_;
    }
    return view;
}

milliseconds peer_load::silence(time_point now) const
{
    const absl::MutexLock lock{&mutex_};
    return own_in_flight_ > 0 ? now - silent_since_ : milliseconds{0};
}

milliseconds peer_load::latency(time_point now) const
{
    const absl::MutexLock lock{&mutex_};
    return decayed_latency(now);
}

void peer_load::avoid_until(time_point until)
{
    const absl::MutexLock lock{&mutex_};
    avoided_until_ = std::max(avoided_until_, until);
}

void peer_load::clear_avoidance()
{
    const absl::MutexLock lock{&mutex_};
    avoided_until_ = {};
    latency_ms_ = 0.0F;
}

bool peer_load::is_avoided(time_point now) const
{
    const absl::MutexLock lock{&mutex_};
    return now < avoided_until_;
}

milliseconds peer_load::decayed_latency(time_point now) const
{
    // While calls are in flight there is no evidence that the peer has become faster.
    if (own_in_flight_ > 0 || now <= latency_updated_at_) {
        return milliseconds{latency_ms_};
    }
    const double decay = std::exp2(-(now - latency_updated_at_) / latency_half_life);
    return milliseconds{latency_ms_ * std::max(min_decay, decay)};
}

} // namespace chestnutstand
