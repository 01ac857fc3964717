#pragma once

#include "chestnutstand/admission/caller_time_limits.h"
#include "chestnutstand/config/settings.h"
#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/node/key_router.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/tenancy/quota_service.h"
#include "chestnutstand/tenancy/tenant_counters.h"
#include "chestnutstand/transport/http_server.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

namespace chestnutstand {

struct ingress_options {
    std::uint64_t instance = 0;
    caller_interface interface_for_callers = caller_interface::calls;
    header_names headers;
    /// Service of the upstream on the VM of this node; the callers run on the same VM. Sent to the
    /// upstreams of routed calls in headers.origin_service.
    std::string origin_service;
};

/// Accepts calls over HTTP from callers and from the upstream of this node.
class ingress {
public:
    /// `keys` may be null if the interface for callers is caller_interface::routes, which has no
    /// idempotency keys.
    ingress(ingress_options options, const snapshot<document>& in_force, dispatcher& dispatch,
            key_router* keys, metrics& stats);

    /// Sets the quotas of routed calls, before the first request; null for none.
    void set_quotas(quota_service* quotas) { quotas_ = quotas; }

    /// Handles one request and sends exactly one response to the responder.
    void handle(const http_request& request, const std::shared_ptr<responder>& response);

    /// Whether the request may be handled while others ahead of it on its connection are: only
    /// where its route allows it to run more than once.
    bool may_overtake(const http_request& request) const;

    /// Returns the response to a request that the HTTP server itself refuses.
    http_response refuse_unreadable(const request_refusal& error);

    /// Adds "Connection: close" to all further responses. Refuses routed calls that may run beyond
    /// the cutoff, at which finish_drain() will be called.
    void begin_drain(time_point cutoff)
    {
        latest_deadline_ = cutoff;
        draining_ = true;
    }

    /// Refuses all further requests.
    void refuse_new_calls() { refusing_ = true; }

    /// Answers all requests that are still in flight: their outcome is unknown.
    void finish_drain();

    bool idle() const;

private:
    /// Request of a caller that has not been answered.
    struct open_request {
        std::shared_ptr<responder> response;
        std::string request_id;
    };
    using request_ptr = std::shared_ptr<open_request>;

    request_ptr open(const http_request& request, const std::shared_ptr<responder>& response);
    void handle_routed(const http_request& request, const request_ptr& opened);
    void dispatch_routed(service_call call, const request_ptr& opened, call_done done);
    void refuse_for_quota(const service_call& call, const request_ptr& opened,
                          const quota_verdict& verdict);
    void handle_call(const http_request& request, const request_ptr& opened);
    void handle_issue(const http_request& request, const request_ptr& opened);
    void handle_query(const http_request& request, const request_ptr& opened);
    void refuse(const http_request& request, const request_ptr& opened, reason_code reason,
                std::string_view detail);
    /// Counts a request of a tenant; returns the counter of the tenant's refusals, or null if the
    /// call has no tenant.
    std::atomic<std::uint64_t>* count_tenant(const service_call& call);
    /// Sends the response unless the request has been answered before.
    void answer(const request_ptr& opened, http_response response);

    std::string next_request_id();

    const ingress_options options_;
    const snapshot<document>& in_force_;
    dispatcher& dispatcher_;
    key_router* keys_;
    quota_service* quotas_ = nullptr;
    metrics& stats_;
    tenant_counters tenants_;
    caller_time_limits time_limits_;
    std::atomic<std::uint64_t> next_call_ = 0;
    /// Index into the low-discrepancy sequence that places requests in the split of their route.
    std::atomic<std::uint64_t> next_position_ = 0;
    /// Index into the low-discrepancy sequence that spreads the Retry-After times.
    std::atomic<std::uint64_t> next_retry_after_ = 0;
    mutable std::mutex requests_mutex_;
    /// Requests that have not been answered.
    std::unordered_set<request_ptr> requests_;
    std::atomic<time_point> latest_deadline_ = time_point::max();
    std::atomic<bool> draining_ = false;
    std::atomic<bool> refusing_ = false;
};

} // namespace chestnutstand
