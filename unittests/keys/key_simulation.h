#pragma once

#include "chestnutstand/keys/executor_keys.h"
#include "chestnutstand/keys/key_owner.h"
#include "chestnutstand/keys/key_settlement.h"
#include "history_checker.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand::simulation {

/// Defects that a run may contain on purpose, to show that the checks detect them.
enum class injected_defect : std::uint8_t {
    none,
    lost_reply_is_refusal,   ///< The owner tries the next candidate without settling the key.
    fence_is_not_kept,       ///< Executors report a fence that they do not record.
    missing_reply_is_fence,  ///< A candidate that does not reply to a settlement counts as fenced.
    failed_forward_is_proof, ///< An ingress reports not_run when it cannot reach the owner.
};

struct run_report {
    history::report report;
    std::size_t executions = 0;
    /// Calls that got no result or several, and keys still in progress after all messages arrived.
    std::size_t unsettled = 0;
    /// False when tasks were still pending after the maximum number of steps.
    bool drained = true;
};

/// Simulates the processes of a cluster in one thread. A script of choices determines the order of
/// messages, timers and crashes. Every message and timer may be delayed arbitrarily, which covers
/// paused processes. At the end of the script, all pending messages and timers are processed, and
/// the history is checked.
class cluster {
public:
    cluster(std::vector<std::uint8_t> script, injected_defect defect);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    run_report run();

private:
    struct process;
    struct invocation;
    class peers;
    class executor;
    using process_ptr = std::shared_ptr<process>;
    using task = std::function<void()>;

    std::size_t choose(std::size_t options);
    bool chance(std::size_t one_in) { return choose(one_in) == one_in - 1; }
    time_point now() const { return time_point{milliseconds{now_ms_}}; }

    process_ptr start_process(std::uint16_t port);
    process_ptr process_at(const node_reference& node) const;
    bool is_alive(const node_reference& node) const;
    key_environment environment_of(const std::weak_ptr<process>& self);
    candidate_selection selection();

    /// Sends one message. Exactly one of the three tasks may have an effect on the sender.
    void transmit(const node_reference& to, std::function<void(const process_ptr&)> deliver,
                  const task& refused, task lost);
    void receive_call(const process_ptr& self, const service_call& call, const call_done& done);
    void take_slot(const process_ptr& self, const key_id& id, const service_call& call);
    void run_upstream(const process_ptr& self, const key_id& id, const service_call& call);
    absl::StatusOr<settle_result> receive_settle(process& self, const std::string& key);

    void issue_key();
    void invoke(const process_ptr& ingress, std::size_t key_index, bool query);
    void send_to_owner(const process_ptr& ingress, const service_call& call, bool query,
                       const call_done& done);
    void crash_or_restart(std::size_t index);
    void step();
    void drain();
    void run_task(std::vector<task>& tasks, std::size_t index);

    std::vector<std::uint8_t> script_;
    std::size_t position_ = 0;
    injected_defect defect_;
    key_table_limits limits_;
    double now_ms_ = 0;
    std::uint64_t next_instance_ = 100;
    std::vector<process_ptr> processes_;
    std::vector<task> pending_;
    /// Timeouts and long timers, which the script chooses rarely.
    std::vector<task> rarely_chosen_;
    std::vector<std::string> keys_;
    std::set<std::pair<std::uint64_t, std::string>> started_;
    std::vector<std::shared_ptr<invocation>> invocations_;
    history::records history_;
    bool drained_ = true;
};

} // namespace chestnutstand::simulation
