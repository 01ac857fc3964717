#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/membership/member.h"
#include "chestnutstand/routing/balancing_policy.h"
#include "chestnutstand/routing/distance_table.h"
#include "chestnutstand/routing/recent_quantile.h"
#include "chestnutstand/routing/retry_budget.h"
#include "chestnutstand/routing/service_peers.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/support/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

struct selector_options {
    std::uint64_t self_instance = 0;
    std::string data_centre;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    std::function<time_point()> now = &ms_clock::now;
    /// Limits shared by all nodes; without them each node uses the default limits of retry_budget.
    std::optional<fleet_retry_limits> retry_limits;
};

/// What a member is chosen for.
struct placement_request {
    const std::string& service;
    std::string_view priority;
    /// Whether only members in the data centre of this node are considered.
    bool own_data_centre_only = false;
};

/// Chooses members for calls and learns from their replies. Safe for concurrent use; does no I/O.
class upstream_selector {
public:
    /// The snapshots must outlive the selector.
    upstream_selector(const snapshot<routing_table>& routes,
                      const snapshot<document>& configuration, selector_options options);

    /// Returns a member for a call, chosen by the policy of the service; null when there is none. A
    /// call that several queues have refused is only sent to members that are known to have spare
    /// capacity.
    ///
    /// This limit is for a burst or a loss of members that fills all queues. Most other members
    /// then refuse the call as well, and each refusal costs both nodes the time and the bytes of
    /// the call, so that fewer calls are served. Calls of the most urgent class are sent to more
    /// members before this limit applies, because they are a small part of such a load and their
    /// refusals cost most.
    ///
    /// A call with a large body is placed in the own data centre first, also if it has to wait
    /// there: under load, members in other data centres have spare capacity more often than the few
    /// near ones, and most large bodies would cross the links between data centres.
    std::shared_ptr<peer> choose(const placement_request& request,
                                 const std::vector<std::uint64_t>& excluded,
                                 std::size_t queue_refusals = 0);
    std::shared_ptr<peer> choose(const std::string& service, std::string_view priority,
                                 const std::vector<std::uint64_t>& excluded,
                                 std::size_t queue_refusals = 0)
    {
        return choose({service, priority}, excluded, queue_refusals);
    }

    /// Returns the member with the instance of the node. For a node that is not a member, returns a
    /// new entry that belongs to no service.
    std::shared_ptr<peer> find(const std::string& service, const node_reference& node);

    /// Sorts the nodes by expected cost, lowest first. Avoided, ejected and unknown nodes come
    /// last.
    std::vector<node_reference> sort_by_cost(const std::string& service, std::string_view priority,
                                             std::vector<node_reference> nodes);

    /// Returns up to count different members, each chosen by the policy of the service.
    std::vector<node_reference> choose_distinct(const std::string& service,
                                                std::string_view priority, std::size_t count);

    /// Replaces the limits shared by all nodes. Discards the retry budgets of all services, which
    /// start again with retry_budget::initial_tokens.
    void set_retry_limits(const std::optional<fleet_retry_limits>& limits);

    /// Records the result of a call that was counted with peer_load::begin_call.
    void record_result(peer& target, const std::string& service, const std::string& priority,
                       const call_result& result, time_point sent);

    /// Takes one retry or hedge from the budget of the service; returns false when it is exhausted.
    bool take_retry(const std::string& service);
    void give_back_retry(const std::string& service);

    /// 95th percentile of the recent latencies of the class; empty while there are too few samples.
    std::optional<milliseconds> hedge_delay(const std::string& service, std::string_view priority);

    /// Returns a member to probe now; null when there is none, the policy uses no reports or the
    /// rate limit is reached. It is any member that does not respond, or else a single member
    /// picked at random, if the report of that one is stale. The caller must end the probe with
    /// record_probe.
    ///
    /// Probes are for a node that is frozen, disconnected or starved of processor time. Without
    /// them, each other node would have as many calls waiting there until their deadlines as the
    /// upstream has slots.
    std::shared_ptr<peer> take_probe_target(const std::string& service);

    /// Records the result of a probe; the report is empty when the probe failed.
    void record_probe(peer& target, const std::string& service,
                      const std::optional<load_report>& report, time_point sent);

private:
    struct service_state {
        std::shared_ptr<const document> configuration;
        std::shared_ptr<const routing_table> routes;
        double retry_ratio = 0.0;
        service_peers peers;
        priority_order order;
        std::string policy_name;
        std::unique_ptr<any_policy> policy;
        std::optional<retry_budget> retries;
        std::unordered_map<std::string, recent_quantile> latencies;
    };

    service_state* find_service(const std::string& service);
    std::shared_ptr<peer> unresponsive_member(const service_state& state, time_point now) const;
    /// Picks one member at random and returns it if its report is stale and it can be probed; null
    /// otherwise, even if another member has a stale report.
    std::shared_ptr<peer> random_member_if_stale(const service_state& state, time_point now);
    void configure(service_state& state, const service_config& config) const;
    std::shared_ptr<peer> choose_member(service_state& state, const placement_request& request,
                                        const std::vector<std::uint64_t>& excluded,
                                        std::size_t queue_refusals);
    candidate candidate_for(const peer& entry) const;
    void store_report(peer& target, const service_state& state, const load_report& report,
                      time_point now) const;

    const snapshot<routing_table>& routes_;
    const snapshot<document>& configuration_;
    const selector_options options_;
    std::mutex mutex_;
    /// Limits shared by all nodes; without them each node uses the default limits of retry_budget.
    std::optional<fleet_retry_limits> retry_limits_;
    random_generator random_;
    distance_table distances_;
    token_bucket probe_rate_limit_;
    std::unordered_map<std::string, service_state> services_;
};

} // namespace chestnutstand
