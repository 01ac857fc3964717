#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/tenancy/quota_owner.h"
#include "chestnutstand/tenancy/quota_stock.h"
#include "chestnutstand/tenancy/quota_view.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {

/// What the quota of the tenant says about a call.
struct quota_verdict {
    bool admitted = false;
    /// Reason of a refusal: quota_exceeded, or caller_gone.
    reason_code reason = reason_code::none;
    /// When the caller should come back.
    milliseconds retry_after{0};
    /// The token that the call uses; nothing if its tenant has no quota.
    std::optional<quota_credit> credit;
};

/// Clock and network of a quota_service.
struct quota_environment {
    std::function<time_point()> now;
    /// Sends a request to another node; the callback runs exactly once, within the timeout.
    std::function<void(const node_reference&, const quota_request&, milliseconds timeout,
                       peer_client::quota_done)>
        ask;
    /// Number in [0, 1) that differs between nodes.
    double phase = 0.0;
};

/// Enforces the quotas of the tenants over all nodes: as entry node, with tokens that it asks the
/// owners of the tenants for, and as owner. Thread-safe; callbacks run outside its mutexes.
class quota_service {
public:
    quota_service(std::uint64_t self, quota_environment environment,
                  const snapshot<document>& in_force, metrics& stats);

    using admit_done = std::function<void(quota_verdict)>;
    /// Whether any tenant has a quota.
    bool has_limits() { return !current_limits()->empty(); }
    /// Whether calls of the tenant have to pass admit().
    bool limits(const std::string& tenant);
    /// Decides at once, or after the reply of the owner if this node has no tokens. The callback
    /// runs exactly once. The call itself is not kept.
    void admit(const service_call& call, admit_done done);
    /// Returns the token of a call that was refused for another reason.
    void give_back(const std::string& tenant, const quota_credit& credit);

    /// Handles a request of another node.
    void handle(const quota_request& request, peer_client::quota_done done);

    void set_view(std::shared_ptr<const quota_view> view);
    /// Drops the state of idle tenants.
    void drop_idle();

private:
    struct waiter {
        std::uint64_t id = 0;
        time_point deadline;
        admit_done done;
    };
    struct entry {
        explicit entry(double phase) : stock{phase} {}
        quota_stock stock;
        std::deque<waiter> waiting;
    };
    /// A question to send, or verdicts to deliver, once the mutex is released.
    struct effects {
        std::optional<std::uint32_t> question;
        std::vector<std::pair<admit_done, quota_verdict>> verdicts;
    };
    using pending_request = std::pair<quota_request, std::shared_ptr<peer_client::quota_done>>;
    using limit_map = std::unordered_map<std::string, quota_limit>;

    std::shared_ptr<const limit_map> current_limits();
    quota_limit limit_of(const std::string& tenant);

    entry& entry_of(const std::string& tenant);
    void run(const std::string& tenant, effects&& todo);
    void send_question(const std::string& tenant, std::uint32_t tokens);
    /// Asks the stand-in of the owner after the owner has replied that it cannot decide.
    void ask_stand_in(quota_request request, peer_client::quota_done done);
    void on_reply(const std::string& tenant, std::uint32_t asked,
                  const std::optional<quota_reply>& reply);
    void refuse_or_fall_back(entry& held, const quota_limit& limit, std::uint32_t members,
                             time_point now, effects& todo);
    void withdraw(const std::string& tenant, std::uint64_t id);

    void decide(const quota_request& request, const std::shared_ptr<peer_client::quota_done>& done);
    void take_over(const quota_request& request, const std::vector<node_reference>& predecessors);
    void finish_take_over(const std::string& tenant, const std::optional<quota_reply>& reply);
    void count_fallback(bool admitted);

    const std::uint64_t self_;
    const quota_environment environment_;
    const snapshot<document>& in_force_;
    metrics& stats_;
    snapshot<quota_view> view_;

    std::mutex limits_mutex_;
    std::shared_ptr<const document> limits_of_;
    std::shared_ptr<const limit_map> limits_;

    std::mutex entry_mutex_;
    std::unordered_map<std::string, entry> entries_;
    std::uint64_t next_waiter_ = 0;

    std::mutex owner_mutex_;
    quota_owner owner_;
    /// Requests that wait for a take-over, by tenant.
    std::unordered_map<std::string, std::vector<pending_request>> waiting_for_take_over_;
};

} // namespace chestnutstand
