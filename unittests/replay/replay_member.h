#pragma once

#include "model_network.h"

#include "chestnutstand/admission/admission_queue.h"
#include "chestnutstand/admission/upstream_slowdown.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace chestnutstand::replay {

/// Selects, for each decision, the algorithm of the product or the simpler one that it replaced.
/// The default is the product.
struct policy_options {
    /// Requests are ordered by urgency with guaranteed shares; otherwise by arrival.
    bool by_urgency = true;
    /// Requests wait or are sent to another member while the upstream is slow.
    bool follow_pace = true;
    /// The limit of running requests adapts to latencies and rejections; otherwise it is the number
    /// of slots.
    bool adaptive_limit = true;
    /// Rejections by an upstream with free slots do not lower the limit.
    bool ignore_rejections_with_free_slots = true;
    /// Refused callers retry within their latency target; otherwise after one second.
    bool retry_within_target = true;
    /// Requests of callers that have left are removed from the queues.
    bool cancel_abandoned = true;
    std::string balancing = "two_choices";
};

/// Model of an upstream that gets slower when it is nearly full, together with its node, which uses
/// the admission queue and pace tracking of the product.
class replay_member final : public model_member {
public:
    replay_member(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                  const service_config& service, const policy_options& options, std::uint64_t seed);

    void execute(const service_call& call, call_done done) override;
    load_report report() const override;

    /// Refuses all further calls, as in a planned shutdown.
    void drain() { queue_.drain(); }

    static constexpr std::uint32_t slots = 8;

    // Behaviour of the upstream; may be changed during the simulation.

    /// Factor on the duration of work that starts now, caused by other VMs on the hardware.
    double pace = 1.0;
    /// Factor on the duration that its reports do not show.
    double slowdown = 1.0;
    /// Factor on the duration until warm_at, while a new process warms up.
    double cold_factor = 1.0;
    time_point warm_at;
    /// Responds with status 500 immediately.
    bool fails_fast = false;
    /// Share of requests that it rejects with status 503 although it has free slots.
    double rejected_share = 0.0;
    /// Accepts requests without responding while at least this many are running; 0 disables it.
    std::uint32_t stalls_from = 0;

private:
    struct execution {
        service_call call;
        call_done done;
        std::size_t priority = 0;
        bool started = false;
        time_point started_at;
        /// Whether the upstream is running it.
        bool occupies_slot = false;
    };
    using execution_ptr = std::shared_ptr<execution>;

    bool refuses(const service_call& call) const;
    void offer(std::uint64_t id, const execution_ptr& entry);
    void take_decisions();
    void schedule_expiry_check();
    void start(std::uint64_t id);
    void respond(std::uint64_t id, int status);
    void finish(std::uint64_t id, const upstream_sample& sample, call_result result);
    void cancel(std::uint64_t id);
    void refuse(const execution_ptr& entry, reason_code reason) const;
    /// Draws the duration of the work.
    milliseconds work_time(const execution& entry);
    double random_fraction();

    event_loop& loop_;
    policy_options options_;
    admission_queue queue_;
    upstream_slowdown pace_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, execution_ptr> executions_;
    std::uint64_t last_id_ = 0;
    std::uint32_t busy_ = 0;
    bool expiry_check_scheduled_ = false;
};

} // namespace chestnutstand::replay
