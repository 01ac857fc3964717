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

/// Runs calls on the upstream beside this node, without the network.
class local_executor {
public:
    local_executor() = default;
    local_executor(const local_executor&) = delete;
    local_executor& operator=(const local_executor&) = delete;
    virtual ~local_executor() = default;

    /// The callback runs exactly once, on any thread, possibly before the method returns.
    virtual void execute(const service_call& call, call_done done) = 0;
};

struct dispatcher_options : selector_options {
    /// Runs a task after a delay, for instance control_loop::post_after. Without it there are no
    /// hedged requests.
    std::function<void(milliseconds, std::function<void()>)> run_after;
};

/// Selects a member of the called service for each call, sends the call to it and retries within
/// the budgets. Safe for concurrent use; callbacks run on any thread.
class dispatcher {
public:
    /// The references must outlive all running calls; local may be null.
    dispatcher(peer_client& peers, local_executor* local, const snapshot<routing_table>& routes,
               const snapshot<document>& configuration, metrics& counters,
               const dispatcher_options& options);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /// Runs a call on some member of its service. A call of a class that is not idempotent needs a
    /// key; it goes to the key owner instead. The callback runs exactly once.
    void dispatch(const service_call& call, call_done done);

    /// Runs one attempt on the given member and learns from its reply. Never retries; the caller
    /// sets the retry budget that the attempt carries.
    void execute_on(const node_reference& target, const service_call& call, call_done done);

    /// The given members ordered by the current cost of sending a call of the class to them, the
    /// cheapest first. Members that should be avoided come last.
    std::vector<node_reference> rank(const std::string& service, std::string_view priority,
                                     std::vector<node_reference> candidates);

    /// Up to count different members of a service for a new idempotency key, selected by load.
    std::vector<node_reference> choose_distinct(const std::string& service,
                                                std::string_view priority, std::size_t count);

    /// Replaces the limits of retries that all nodes share.
    void set_retry_limits(const std::optional<fleet_retry_limits>& limits);

private:
    class core;
    std::shared_ptr<core> core_;
};

} // namespace chestnutstand
