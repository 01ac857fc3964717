#pragma once

#include "chestnutstand/admission/abandoned_requests.h"
#include "chestnutstand/admission/admission_queue.h"
#include "chestnutstand/admission/load_prober.h"
#include "chestnutstand/admission/upstream_slowdown.h"
#include "chestnutstand/admission/upstream_statement.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/keys/attempt_ledger.h"
#include "chestnutstand/keys/executor_keys.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/token_bucket.h"
#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Upstream registered with this node.
struct local_upstream {
    std::string service;
    /// http://ip:port
    std::string base_url;
    std::uint32_t slots = 0;
    /// Identifies the upstream process; empty when the upstream registered without an id.
    std::string id;
    /// Unix time in milliseconds at which the process started; 0 when unknown.
    std::uint64_t born_ms = 0;

    friend bool operator==(const local_upstream&, const local_upstream&) = default;
};

/// Runs calls on the local upstream as the admission queue permits, and measures the upstream with
/// probes within the configured budget.
///
/// The slowdown of an upstream is the factor by which its work takes longer now; 1 is the usual
/// time. See upstream_slowdown. load_report::pace carries it to other nodes.
///
/// Only the executor sends calls to the upstream. Must outlive its running calls.
class executor {
public:
    /// Returns the active configuration document, or null when there is none yet.
    using configuration_source = std::function<std::shared_ptr<const document>()>;

    executor(std::uint64_t instance, http_client& client, metrics& stats, executor_keys& keys,
             configuration_source configuration, header_names names = {});

    /// Called with the id and start time of an upstream process whose response says that it leaves,
    /// once for each process, on any thread.
    using departure_listener = std::function<void(const std::string& id, std::uint64_t born_ms)>;

    /// Must be called before the first call of set_upstream().
    void on_departure(departure_listener listener) { departed_ = std::move(listener); }

    /// Sets or removes the upstream. Calls that run on the previous upstream continue; queued calls
    /// are refused when the upstream was removed or its service changed.
    void set_upstream(std::optional<local_upstream> upstream);
    std::optional<local_upstream> upstream() const;

    /// Starts no call at or after this time, until it is renewed. A node that was paused cannot
    /// rely on a timer to withdraw an upstream whose lease has expired meanwhile.
    void renew_lease(time_point end);

    /// Observes the response of an upstream process that is about to become the upstream.
    void observe_verification(const local_upstream& verified, const http_response& response);

    /// Observes a heartbeat of an upstream process, which stays cold for the time left.
    void observe_heartbeat(const local_upstream& sender, milliseconds cold_left, time_point now);

    /// Refuses all calls, and the queued ones, while the data centre of the node is evacuated.
    void set_evacuated(bool evacuated);

    /// Refuses routed calls whose deadline is later, and queued calls that are not expected to be
    /// completed by then, because the node ends.
    void refuse_calls_beyond(time_point end);

    /// Refuses new calls from now on; queued calls still run.
    void begin_drain();

    /// Runs or refuses a call. The callback is invoked exactly once, on any thread, possibly before
    /// this method returns.
    void execute(std::uint64_t target_instance, service_call call, const call_done& done);

    /// Refuses queued calls whose deadline or queue timeout has passed, and sends a probe when one
    /// is due. To be called every few tens of milliseconds.
    void poll(time_point now);

    load_report report() const;

    /// Returns the state of a routed call by its request id, and fences the id unless the call has
    /// started or is kept. The response of a call is returned only if it runs at most once.
    settle_result settle_attempt(const attempt_query& query);

    /// Whether no call is queued, running or waiting for a slowdown probe.
    bool idle() const;

private:
    /// A call from the time at which it enters the queue to its completion.
    struct call_execution {
        std::uint64_t id = 0;
        service_call call;
        call_done done;
        /// Set for a call with an idempotency key; executor_keys then holds the callbacks.
        std::optional<key_id> key;
        local_upstream upstream;
        time_point offered_at;
        time_point started_at;
        /// Requests per second that the upstream took at the start; nullopt without a limit.
        std::optional<double> rate_limit;
        bool started = false;
        bool cancelled = false;
        std::optional<http_client::request_id> request;
    };
    using call_execution_ptr = std::shared_ptr<call_execution>;

    struct refused_call {
        call_done done;
        std::optional<key_id> key;
        reason_code reason = reason_code::none;
        load_report load;
        std::string request_id;
    };

    /// A call that waits for a slowdown probe before it is offered to the queue. Only routed calls
    /// wait, so there is no key.
    struct waiting_routed_call {
        std::uint64_t target_instance = 0;
        service_call call;
        call_done done;
    };

    /// Actions collected under the mutex that must run after it is released, because they send
    /// requests or invoke callbacks.
    struct deferred_actions {
        std::vector<call_execution_ptr> to_send;
        std::vector<refused_call> refusals;
        /// New call that the queue has not refused, so that it is queued or started; its
        /// cancellation must be observed.
        call_execution_ptr accepted;
    };

    // Methods that take deferred_actions by reference require the mutex to be held.

    /// Applies the active document, and the upstream's service, to the queue and the prober.
    void apply_configuration(time_point now);
    /// Number of the upstream's slots that this node may use at once.
    std::uint32_t usable_slots() const;
    std::optional<reason_code> refusal_reason(std::uint64_t target_instance,
                                              const service_call& call, time_point now);
    /// Passes the rate limit that the upstream has named to the queue.
    void apply_rate_limit(time_point now);
    /// Offers a call to the queue. A routed call first waits for a slowdown probe if the slowdown
    /// of the upstream is not known; all other calls are offered at once.
    void offer(std::uint64_t target_instance, service_call call, const std::optional<key_id>& key,
               const call_done& done, time_point now);
    /// Index of the queue's class for a call. A routed call whose class is not configured here gets
    /// a fallback class, which exists unless the queue has no classes; any other call gets nullopt.
    std::optional<std::size_t> find_class(const service_call& call) const;
    /// Offers a call to the queue, which starts it at once, queues it or refuses it. An
    /// at-most-once call is refused before if its request id is already known.
    void enter_queue(call_execution_ptr execution, time_point now, deferred_actions& deferred);
    void apply_queue_decisions(time_point now, deferred_actions& deferred);
    /// Returns false when the key or the request id of the call is fenced.
    bool try_mark_started(call_execution& execution);
    void start(const call_execution_ptr& execution, time_point now, deferred_actions& deferred);
    void discard_attempt(const call_execution& execution);
    /// Refuses the queued calls for which the predicate holds.
    template <typename Predicate>
    void refuse_queued_if(Predicate is_refused, reason_code reason, deferred_actions& deferred);
    void refuse_queued(reason_code reason, deferred_actions& deferred);
    void refuse_unfinishable(time_point now, deferred_actions& deferred);
    /// Refuses the queued calls whose API key the document in force no longer lists, once for each
    /// document.
    void refuse_removed_keys(deferred_actions& deferred);
    void run_deferred(deferred_actions deferred);
    void send(const call_execution_ptr& execution);
    void cancel(const call_execution_ptr& execution);
    void finish(const call_execution_ptr& execution, http_result upstream_result);
    load_report report_locked() const;
    void log_execution(const call_execution& execution, const call_result& result,
                       time_point now) const;
    static void log_refusal(const refused_call& refused);
    /// What the end of a request says about the requests that the upstream holds.
    struct request_end {
        bool abandoned = false;
        /// Requests that the upstream runs and queues, if it says so.
        std::optional<std::uint32_t> held;
    };
    request_end end_of(const http_result& result) const;
    /// Counts a routed call that was abandoned; the mutex must be held.
    void track_abandoned(const service_call& call, const request_end& end, time_point now);
    /// Passes the count of abandoned requests to the queue; the mutex must be held.
    void update_abandoned(time_point now);
    void observe_slowdown(const http_result& result, time_point now);
    /// Observes what a response of an upstream process says about that process.
    void observe_upstream_state(const local_upstream& sender, const http_response& response);
    /// What a statement of the upstream about its cold phase has changed.
    struct cold_change {
        bool began = false;
        bool ended = false;
        milliseconds left{0};
    };
    /// Whether responses of the health path state that the upstream is cold or not. Requires the
    /// mutex to be held, as do the next three methods.
    bool can_ask_whether_cold() const;
    /// Passes the limit for a cold upstream to the queue.
    void apply_cold_limit(time_point now);
    /// Treats an upstream process as cold unless it is the current one.
    void observe_new_process(const std::optional<local_upstream>& next, time_point now);
    cold_change observe_cold_time(milliseconds left, time_point sent, time_point now);
    /// Observes what a response to a request that was sent at that time says of a cold phase.
    void observe_cold_header(const local_upstream& sender, const http_response& response,
                             time_point sent, bool is_health_check);
    void log_cold_change(const local_upstream& sender, const cold_change& change);
    /// Sends a health check if the cold limit needs a statement of the upstream.
    void check_cold(time_point now);
    /// Probes an upstream that was slow at its last report if that report is old. Takes no token of
    /// slowdown_probe_budget_.
    void probe_stale_slowdown(time_point now);
    /// Whether a call should wait for a slowdown probe; always false for a call that is not routed.
    /// Takes a token of slowdown_probe_budget_ if that starts a new probe.
    bool should_wait_for_slowdown(const service_call& call, time_point now);
    /// Recent mean time that the upstream takes for calls of this class; zero while unknown.
    milliseconds usual_time_of(const service_call& call, time_point now) const;
    /// Path at which the upstream reports its load; empty when none is configured.
    std::string health_path() const;
    void probe_slowdown(const local_upstream& asked, const std::string& path);
    /// Refuses a call that this node cannot run, or else passes it to enter_queue().
    void offer_to_queue(std::uint64_t target_instance, service_call call,
                        const std::optional<key_id>& key, const call_done& done, time_point now);
    void update_queue_slowdown(time_point now);

    const std::uint64_t instance_;
    http_client& client_;
    metrics& stats_;
    executor_keys& keys_;
    const configuration_source configuration_;
    const header_names names_;
    departure_listener departed_;
    load_prober prober_;
    mutable std::mutex mutex_;
    std::optional<local_upstream> upstream_;
    std::shared_ptr<const document> applied_;
    std::string applied_service_;
    /// Whether applied_ has changed since the API keys of the queued calls were checked.
    bool keys_unchecked_ = false;
    /// Kept when the upstream is removed, because calls may still run on it.
    std::optional<admission_queue> queue_;
    std::unordered_map<std::uint64_t, call_execution_ptr> executions_;
    std::uint64_t last_id_ = 0;
    attempt_ledger attempts_;
    abandoned_requests abandoned_;
    bool full_of_abandoned_ = false;
    upstream_slowdown slowdown_;
    /// What the upstream process has said of itself.
    upstream_statement statement_;
    /// End of the cold phase by the last heartbeat or, before it, by the document.
    time_point stated_cold_until_;
    bool cold_check_running_ = false;
    time_point next_cold_check_;
    /// Time from the next check to the one after it, unless the upstream makes a statement.
    milliseconds cold_check_backoff_{0};
    std::atomic<bool> last_cold_check_failed_{false};
    bool slowdown_probe_running_ = false;
    /// Calls that wait for the running slowdown probe.
    std::vector<waiting_routed_call> waiting_for_slowdown_;
    /// Limits the slowdown probes for which calls wait. Unrelated to probe_budget_per_s of the
    /// service, which limits the probes of prober_.
    token_bucket slowdown_probe_budget_;
    time_point slowdown_probes_paused_until_;
    time_point lease_end_ = time_point::max();
    time_point latest_deadline_ = time_point::max();
    bool draining_ = false;
    bool evacuated_ = false;
};

} // namespace chestnutstand
