#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/membership/member.h"
#include "chestnutstand/routing/upstream_selector.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Runs calls on the upstream of this node without a network hop between nodes.
class local_executor {
public:
    local_executor() = default;
    local_executor(const local_executor&) = delete;
    local_executor& operator=(const local_executor&) = delete;
    virtual ~local_executor() = default;

    /// Invokes the callback exactly once, on any thread, possibly before this method returns.
    virtual void execute(const service_call& call, call_done done) = 0;
};

struct dispatcher_options : selector_options {
    /// Runs a task after a delay, for instance control_loop::post_after. If unset, the dispatcher
    /// neither hedges requests nor ends calls itself at their deadline.
    std::function<void(milliseconds, std::function<void()>)> run_after;
};

/// Selects a member of the called service for each call, sends the call to it and retries failed
/// attempts. A retry needs two budgets: that of the call tree (service_call::retry_budget), which
/// bounds the attempts of a call and of the calls below it, and that of the service, a token bucket
/// of this node for all its retries and hedges to the service. An attempt that never reached an
/// upstream is repeated at the cost of neither. Thread-safe; callbacks run on any thread.
class dispatcher {
public:
    /// The referenced objects must outlive all calls in flight. `local` may be null; calls to this
    /// node then go through `peers` as well.
    dispatcher(peer_client& peers, local_executor* local, const snapshot<routing_table>& routes,
               const snapshot<document>& configuration, metrics& counters,
               const dispatcher_options& options);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /// Runs a call on a member of its service and invokes the callback exactly once. The route of a
    /// routed call says whether it may run more than once. Any other call, to /call/, must be of an
    /// idempotent priority class and is refused otherwise. A call with an idempotency key must not
    /// be passed to this method, which does not check that: it goes through key_router.
    void dispatch(const service_call& call, call_done done);

    /// Withdraws, some time before the cutoff, the routed calls that still wait in the queues of
    /// other nodes and reports them as not run: this node ends before they could be completed.
    void begin_drain(time_point cutoff);

    /// Runs one attempt on the given member and records its result in the statistics of the member.
    /// Never retries. The attempt carries the retry budget of `call`, that of the call tree,
    /// unchanged.
    void execute_on(const node_reference& target, const service_call& call, call_done done);

    /// Returns the candidates of an idempotency key, the members that are listed in it and that
    /// alone may run its call, in the order of the current cost of sending them a call of the given
    /// priority class, cheapest first. Members that should be avoided come last.
    std::vector<node_reference> rank(const std::string& service, std::string_view priority,
                                     std::vector<node_reference> candidates);

    /// Selects up to `count` distinct members of a service by load, as candidates for a new
    /// idempotency key.
    std::vector<node_reference> choose_distinct(const std::string& service,
                                                std::string_view priority, std::size_t count);

    /// Replaces the retry limits that apply to all nodes together; they set the budgets of the
    /// services, not those of the call trees.
    void set_retry_limits(const std::optional<fleet_retry_limits>& limits);

private:
    class core;
    std::shared_ptr<core> core_;
};

} // namespace chestnutstand
