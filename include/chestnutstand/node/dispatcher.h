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
/// attempts within the retry budgets. Thread-safe; callbacks run on any thread.
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

    /// Runs a call on a member of its service and invokes the callback exactly once. A call
    /// of a priority class that is not idempotent is refused unless it has an idempotency key; a
    /// call with a key belongs to the owner of the key, see key_router.
    void dispatch(const service_call& call, call_done done);

    /// Runs one attempt on the given member and records its result in the statistics of the member.
    /// Never retries. The attempt passes on the retry budget of `call` unchanged.
    void execute_on(const node_reference& target, const service_call& call, call_done done);

    /// Returns the candidates in the order of the current cost of sending them a call of the given
    /// priority class, cheapest first. Members that should be avoided come last.
    std::vector<node_reference> rank(const std::string& service, std::string_view priority,
                                     std::vector<node_reference> candidates);

    /// Selects up to `count` distinct members of a service by load, as candidates for a new
    /// idempotency key.
    std::vector<node_reference> choose_distinct(const std::string& service,
                                                std::string_view priority, std::size_t count);

    /// Replaces the retry limits that apply to all nodes together.
    void set_retry_limits(const std::optional<fleet_retry_limits>& limits);

private:
    class core;
    std::shared_ptr<core> core_;
};

} // namespace chestnutstand
