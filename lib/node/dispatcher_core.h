#pragma once

#include "dispatched_call.h"

#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/support/token_bucket.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace chestnutstand {

/// Limits the queries of one node about overdue attempts. Each takes a new connection; when many
/// calls are overdue at once, the upstreams are slow and not the connections. Thread-safe.
class overdue_query_limit {
public:
    explicit overdue_query_limit(time_point now) : tokens_{queries_per_s, burst, now - fill_time} {}

    bool try_take(time_point now)
    {
        const std::lock_guard lock{mutex_};
        return tokens_.try_take(now);
    }

private:
    static constexpr double queries_per_s = 20.0;
    static constexpr double burst = 20.0;
    /// A token bucket starts empty and fills up in this time.
    static constexpr milliseconds fill_time{1'000};

    std::mutex mutex_;
    token_bucket tokens_;
};

class dispatcher::core : public std::enable_shared_from_this<core> {
public:
    core(peer_client& peers, local_executor* local, const snapshot<routing_table>& routes,
         const snapshot<document>& configuration, metrics& counters,
         const dispatcher_options& options);

    void dispatch(const service_call& call, call_done done);
    void begin_drain(time_point cutoff);
    void execute_on(const node_reference& target, const service_call& call, call_done done)
    {
        send(selector_.find(call.service, target), call, call.retry_budget, call.cancel,
             std::move(done));
    }
    upstream_selector& selector() { return selector_; }

private:
    using call_state = std::shared_ptr<dispatched_call>;
    using attempt_state = std::shared_ptr<dispatched_attempt>;

    void refuse(reason_code reason, const call_done& done);
    /// Passes the result to the caller. For routed calls, logs the result and the attempts behind
    /// it.
    void complete(const call_state& state, call_result result);
    std::optional<std::uint64_t> admitting_version(const service_call& call) const;
    bool start_attempt(const call_state& state);
    void finish_attempt(const call_state& state, const attempt_state& attempt, call_result result);
    bool may_be_settled(const dispatched_call& state, const dispatched_attempt& attempt) const;
    void settle(const call_state& state, const attempt_state& attempt);
    milliseconds overdue_delay(const dispatched_call& state);
    void schedule_overdue_query(const call_state& state, const attempt_state& attempt,
                                milliseconds delay);
    void query_overdue(const call_state& state, const attempt_state& attempt, milliseconds delay);
    void finish_overdue_query(const call_state& state, const attempt_state& attempt,
                              const settle_result& settled, milliseconds delay);
    void schedule_withdrawal(const call_state& state, time_point cutoff);
    void withdraw(const call_state& state);
    void withdraw_attempt(const call_state& state, const attempt_state& attempt);
    bool retry(const call_state& state, const call_result& result);
    void schedule_time_limit(const call_state& state);
    void schedule_hedge(const call_state& state);
    void hedge(const call_state& state);
    void send(const std::shared_ptr<peer>& target, service_call attempt,
              std::uint32_t attempt_budget, const std::shared_ptr<cancellation>& cancel,
              call_done done);
    void probe_stale_member(const std::string& service);

    peer_client& peers_;
    local_executor* local_;
    const snapshot<document>& configuration_;
    metrics& counters_;
    std::atomic<std::uint64_t>& hedges_;
    std::atomic<std::uint64_t>& probes_;
    const dispatcher_options options_;
    upstream_selector selector_;
    overdue_query_limit overdue_queries_;
    std::atomic<std::uint64_t> next_request_{1};
    std::mutex calls_mutex_;
    /// Calls that have not been completed.
    std::unordered_map<const dispatched_call*, std::weak_ptr<dispatched_call>> calls_;
    /// Set while the node drains.
    std::optional<time_point> drain_cutoff_;
};

} // namespace chestnutstand
