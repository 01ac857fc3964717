#pragma once

#include "model_network.h"

#include "chestnutstand/admission/admission_queue.h"
#include "chestnutstand/admission/upstream_pace.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace chestnutstand::replay {

/// Which decisions are those of the product; the others are the simpler ones they replaced.
struct policies {
    /// Order by urgency with guaranteed shares; otherwise by arrival.
    bool by_urgency = true;
    /// Requests wait, or go elsewhere, while the upstream is slow.
    bool follow_pace = true;
    /// The number of running requests follows latencies and rejections; otherwise it is the slots.
    bool adaptive_limit = true;
    /// Rejections by an upstream with free slots do not lower that number.
    bool ignore_rejections_with_free_slots = true;
    /// Refused callers are asked back within their latency target; otherwise after a second.
    bool retry_within_target = true;
    /// Requests of callers that have left are taken out of the queues.
    bool cancel_abandoned = true;
    std::string balancing = "two_choices";
};

/// An upstream that gets slower when it is nearly full, and the node beside it with the decisions
/// of the product.
class replay_member final : public model_member {
public:
    replay_member(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                  const service_config& service, const policies& chosen, std::uint64_t seed);

    void execute(const service_call& call, call_done done) override;
    load_report report() const override;

    /// Refuses all further calls, as at a planned stop.
    void drain() { queue_.drain(); }

    static constexpr std::uint32_t slots = 8;

    // What the upstream does; may change while it runs.

    /// Factor of the work that starts now, as its neighbours on the VM leave time for it.
    double pace = 1.0;
    /// Factor that its reports do not tell.
    double slowdown = 1.0;
    /// Factor of the first work of a new process, and when it is warm.
    double cold_factor = 1.0;
    time_point warm_at;
    /// Answers 500 at once.
    bool fails_fast = false;
    /// Share of requests that it rejects although it has free slots.
    double rejected_share = 0.0;
    /// Takes requests and answers none, from a number of running ones on; 0 means never.
    std::uint32_t mute_from = 0;

private:
    struct execution {
        service_call call;
        call_done done;
        std::size_t priority = 0;
        bool started = false;
        time_point started_at;
        /// Whether the upstream works on it.
        bool occupies_slot = false;
    };
    using execution_ptr = std::shared_ptr<execution>;

    bool refuses(const service_call& call) const;
    void offer(std::uint64_t id, const execution_ptr& offered);
    void take_decisions();
    void watch_expiry();
    void start(std::uint64_t id);
    void answer(std::uint64_t id, int status);
    void finish(std::uint64_t id, const upstream_sample& sample, call_result result);
    void cancel(std::uint64_t id);
    void refuse(const execution_ptr& refused, reason_code reason) const;
    milliseconds work(const execution& what);
    double roll();

    event_loop& loop_;
    policies policies_;
    admission_queue queue_;
    upstream_slowdown pace_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, execution_ptr> executions_;
    std::uint64_t last_id_ = 0;
    std::uint32_t busy_ = 0;
    bool expiry_watched_ = false;
};

} // namespace chestnutstand::replay
