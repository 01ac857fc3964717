#pragma once

#include "chestnutstand/admission/admission_queue.h"
#include "chestnutstand/admission/load_prober.h"
#include "chestnutstand/admission/upstream_pace.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/keys/attempt_ledger.h"
#include "chestnutstand/keys/executor_keys.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/token_bucket.h"
#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// The upstream that registered at this node.
struct local_upstream {
    std::string service;
    /// http://ip:port
    std::string base_url;
    std::uint32_t slots = 0;
    /// Names the process of the upstream; empty when it has not said.
    std::string id;

    friend bool operator==(const local_upstream&, const local_upstream&) = default;
};

/// Runs calls on the upstream beside this node, as the admission queue permits, and measures the
/// upstream within its probe budget. Nothing else sends requests to the upstream. Must outlive its
/// running calls.
class executor {
public:
    /// The document in force, or null.
    using configuration_source = std::function<std::shared_ptr<const document>()>;

    executor(std::uint64_t instance, http_client& client, metrics& stats, executor_keys& keys,
             configuration_source configuration, header_names names = {});

    /// Sets or removes the upstream; calls that run on the old one go on, queued ones are refused
    /// when the upstream has gone or serves another service.
    void set_upstream(std::optional<local_upstream> upstream);
    std::optional<local_upstream> upstream() const;

    /// Refuses all further calls; queued ones still run.
    void begin_drain();

    /// The callback runs exactly once, on any thread, possibly before the method returns.
    void execute(std::uint64_t target_instance, service_call call, const call_done& done);

    /// Refuses queued calls whose time has passed and sends a probe when one is due; to be called
    /// every few milliseconds.
    void poll(time_point now);

    load_report report() const;

    /// State of a call that runs at most once, by its request id; fences it unless it has started.
    settle_result settle_attempt(const std::string& request_id);

    bool idle() const;

private:
    /// A call from its admission to its end.
    struct execution {
        std::uint64_t id = 0;
        service_call call;
        call_done done;
        /// Set for a keyed call, whose callbacks are kept with the key.
        std::optional<key_id> key;
        std::string base_url;
        std::string upstream_id;
        time_point offered_at;
        time_point started_at;
        bool started = false;
        bool cancelled = false;
        std::optional<http_client::request_id> request;
    };
    using execution_ptr = std::shared_ptr<execution>;

    struct refused_call {
        call_done done;
        std::optional<key_id> key;
        reason_code reason = reason_code::none;
        load_report load;
        std::string request_id;
    };

    struct waiting_call {
        std::uint64_t target_instance = 0;
        service_call call;
        call_done done;
    };

    /// What has to be done after the mutex is released, as it runs callbacks or sends.
    struct follow_up {
        std::vector<execution_ptr> starts;
        std::vector<refused_call> refusals;
        /// Newly admitted call, whose cancellation is to be followed.
        execution_ptr admitted;
    };

    void apply_configuration(time_point now);
    std::uint32_t usable_slots() const;
    std::optional<reason_code> refusal(std::uint64_t target_instance, const service_call& call,
                                       time_point now) const;
    void offer(std::uint64_t target_instance, service_call call, const std::optional<key_id>& key,
               const call_done& done, time_point now);
    std::optional<std::size_t> find_class(const service_call& call) const;
    void admit(execution_ptr what, time_point now, follow_up& next);
    void take_decisions(time_point now, follow_up& next);
    bool commit_to_start(execution& what);
    void start(const execution_ptr& what, time_point now, follow_up& next);
    void forget_attempt(const execution& what);
    void refuse_waiting(reason_code reason, follow_up& next);
    void run(follow_up next);
    void send(const execution_ptr& what);
    void cancel(const execution_ptr& what);
    void finish(const execution_ptr& what, http_result result);
    load_report report_locked() const;
    void log_execution(const execution& what, const call_result& ended, time_point now) const;
    static void log_refusal(const refused_call& refused);
    void observe_pace(const http_result& result, time_point now);
    void refresh_pace(time_point now);
    /// Whether a call should wait for a report of the upstream's pace.
    bool needs_fresh_pace(const service_call& call, time_point now);
    std::string health_path() const;
    void ask_pace(const std::string& base_url, const std::string& path);
    void offer_with_known_pace(std::uint64_t target_instance, service_call call,
                               const std::optional<key_id>& key, const call_done& done,
                               time_point now);
    void follow_pace(time_point now);

    const std::uint64_t instance_;
    http_client& client_;
    metrics& stats_;
    executor_keys& keys_;
    const configuration_source configuration_;
    const header_names names_;
    load_prober prober_;
    mutable std::mutex mutex_;
    std::optional<local_upstream> upstream_;
    std::shared_ptr<const document> applied_;
    std::string applied_service_;
    /// Kept while the upstream is away, as calls may still run on it.
    std::optional<admission_queue> queue_;
    std::unordered_map<std::uint64_t, execution_ptr> executions_;
    std::uint64_t last_id_ = 0;
    attempt_ledger attempts_;
    upstream_slowdown pace_;
    bool probing_pace_ = false;
    /// Calls that wait until the upstream has told its pace.
    std::vector<waiting_call> waiting_for_pace_;
    token_bucket pace_probes_;
    time_point no_pace_until_;
    bool draining_ = false;
};

} // namespace chestnutstand
