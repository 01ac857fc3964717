#include "chestnutstand/node/dispatcher.h"

#include "chestnutstand/routing/service_peers.h"
#include "chestnutstand/support/log.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace chestnutstand {
namespace {

/// Attempts of one dispatched call, the first included.
constexpr std::size_t attempt_limit = 3;

/// How long a member is avoided after it could not be reached or has refused all work.
constexpr milliseconds avoidance{1000};

/// Whether the reason says that the member takes no work at all at the moment.
bool takes_no_work(reason why)
{
    switch (why) {
    case reason::peer_unreachable:
    case reason::peer_connection_lost:
    case reason::wrong_instance:
    case reason::draining:
    case reason::no_upstream:
    case reason::upstream_unreachable:
        return true;
    default:
        return false;
    }
}

/// Whether another member may answer where this one did not.
bool worth_retrying(const call_result& result)
{
    return result.outcome != outcome::completed && result.why != reason::caller_gone &&
           result.why != reason::deadline_exceeded;
}

template <typename Named>
const Named* find_named(const std::vector<Named>& entries, std::string_view name)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [name](const Named& entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

/// State of one service.
struct service_state {
    std::shared_ptr<const document> configuration;
    std::shared_ptr<const routing_table> routes;
    service_peers peers;
    priority_order order;
    std::string policy_name;
    std::unique_ptr<any_policy> policy;
};

/// One dispatched call and its attempts, which run one after the other.
struct dispatched_call {
    call what;
    call_done done;
    bool idempotent = false;
    std::vector<std::uint64_t> tried;
};

class dispatcher::core : public std::enable_shared_from_this<core> {
public:
    core(peer_client& peers, local_executor* local, const snapshot<routing_table>& routes,
         const snapshot<document>& configuration, metrics& counters, dispatcher_options options)
        : peers_{peers}, local_{local}, routes_{routes}, configuration_{configuration},
          counters_{counters}, options_{std::move(options)}, random_{options_.seed}
    {
    }

    void dispatch(const call& what, call_done done);
    void execute_on(const node_reference& target, const call& what, call_done done);
    std::vector<node_reference> rank(const std::string& service, std::string_view priority,
                                     std::vector<node_reference> candidates);
    std::vector<node_reference> choose_distinct(const std::string& service,
                                                std::string_view priority, std::size_t count);

private:
    service_state* find_service(const std::string& service);
    std::shared_ptr<peer> choose(service_state& service, std::string_view priority,
                                 const std::vector<std::uint64_t>& left_out);
    std::shared_ptr<peer> choose_for(const dispatched_call& running);
    candidate candidate_for(const peer& entry) const;
    void attempt(const std::shared_ptr<dispatched_call>& running);
    void finish_attempt(const std::shared_ptr<dispatched_call>& running, call_result result);
    bool may_retry(const dispatched_call& running, const call_result& result) const;
    void send(const std::shared_ptr<peer>& target, const call& what, call_done done);
    void learn(peer& target, const std::string& service, const call_result& result,
               time_point sent);

    peer_client& peers_;
    local_executor* local_;
    const snapshot<routing_table>& routes_;
    const snapshot<document>& configuration_;
    metrics& counters_;
    const dispatcher_options options_;
    std::atomic<std::uint64_t> next_request_{1};
    std::mutex mutex_;
    random_generator random_;
    std::unordered_map<std::string, service_state> services_;
};

service_state* dispatcher::core::find_service(const std::string& service)
{
    std::shared_ptr<const document> configuration = configuration_.load();
    std::shared_ptr<const routing_table> routes = routes_.load();
    const service_config* declared =
        configuration ? find_named(configuration->services, service) : nullptr;
    if (declared == nullptr || !routes) {
        return nullptr;
    }
    service_state& state = services_[service];
    if (state.configuration != configuration) {
        state.configuration = std::move(configuration);
        state.order = priority_order{*declared};
        if (state.policy_name != declared->balancing_policy) {
            state.policy_name = declared->balancing_policy;
            state.policy = policy_registry::instance().make(state.policy_name);
        }
        if (!state.policy) {
            log_event(log_level::warning, "unknown balancing policy, the default is used",
                      {{"service", service}, {"policy", state.policy_name}});
            state.policy = policy_registry::instance().make(default_policy);
        }
    }
    if (state.routes != routes) {
        const std::vector<member>* members = routes->find(service);
        state.peers.update(members != nullptr ? *members : std::vector<member>{});
        state.routes = std::move(routes);
    }
    return &state;
}

candidate dispatcher::core::candidate_for(const peer& entry) const
{
    return {&entry.load, milliseconds{0}};
}

std::shared_ptr<peer> dispatcher::core::choose(service_state& service, std::string_view priority,
                                               const std::vector<std::uint64_t>& left_out)
{
    const time_point now = options_.now();
    const std::vector<std::shared_ptr<peer>> eligible = service.peers.eligible(left_out, now);
    if (eligible.empty()) {
        return nullptr;
    }
    std::vector<candidate> candidates;
    candidates.reserve(eligible.size());
    for (const std::shared_ptr<peer>& entry : eligible) {
        candidates.push_back(candidate_for(*entry));
    }
    const selection circumstances{service.order.rank(priority), now};
    return eligible[service.policy->choose(candidates, circumstances, random_)];
}

std::shared_ptr<peer> dispatcher::core::choose_for(const dispatched_call& running)
{
    const std::lock_guard lock{mutex_};
    service_state* service = find_service(running.what.service);
    return service == nullptr ? nullptr : choose(*service, running.what.priority, running.tried);
}

void dispatcher::core::dispatch(const call& what, call_done done)
{
    const std::shared_ptr<const document> configuration = configuration_.load();
    if (!configuration) {
        done(not_run(reason::no_configuration));
        return;
    }
    const service_config* service = find_named(configuration->services, what.service);
    if (service == nullptr) {
        done(not_run(reason::unknown_service));
        return;
    }
    const priority_config* priority = find_named(service->priorities, what.priority);
    auto running = std::make_shared<dispatched_call>();
    running->what = what;
    running->done = std::move(done);
    running->idempotent = priority != nullptr && priority->idempotent;
    attempt(running);
}

void dispatcher::core::attempt(const std::shared_ptr<dispatched_call>& running)
{
    const std::shared_ptr<peer> target = choose_for(*running);
    if (!target) {
        running->done(not_run(reason::no_route));
        return;
    }
    running->tried.push_back(target->node.instance);
    send(target, running->what, [self = shared_from_this(), running](call_result result) {
        self->finish_attempt(running, std::move(result));
    });
}

bool dispatcher::core::may_retry(const dispatched_call& running, const call_result& result) const
{
    return worth_retrying(result) && (result.outcome == outcome::not_run || running.idempotent) &&
           running.tried.size() < attempt_limit && options_.now() < running.what.deadline;
}

void dispatcher::core::finish_attempt(const std::shared_ptr<dispatched_call>& running,
                                      call_result result)
{
    if (!may_retry(*running, result) || !choose_for(*running)) {
        running->done(std::move(result));
        return;
    }
    counters_.count(reason_event::retried, result.why);
    if (running->what.retry_budget > 0) {
        --running->what.retry_budget;
    }
    attempt(running);
}

void dispatcher::core::send(const std::shared_ptr<peer>& target, const call& what, call_done done)
{
    call attempt = what;
    attempt.request_id =
        std::to_string(options_.self_instance) + "-" + std::to_string(next_request_.fetch_add(1));
    target->load.begin_call();
    call_done learn_and_forward = [self = shared_from_this(), target, service = what.service,
                                   sent = options_.now(),
                                   done = std::move(done)](call_result result) {
        self->learn(*target, service, result, sent);
        done(std::move(result));
    };
    if (local_ != nullptr && target->node.instance == options_.self_instance) {
        local_->execute(attempt, std::move(learn_and_forward));
    }
    else {
        peers_.execute(target->node, attempt, std::move(learn_and_forward));
    }
}

void dispatcher::core::learn(peer& target, const std::string& service, const call_result& result,
                             time_point sent)
{
    const time_point now = options_.now();
    const bool answered = result.outcome == outcome::completed && result.response.status < 500;
    target.load.end_call(answered ? std::optional{now - sent} : std::nullopt, now);
    if (result.outcome != outcome::completed && takes_no_work(result.why)) {
        target.load.avoid_until(now + avoidance);
    }
    if (!result.load) {
        return;
    }
    const std::lock_guard lock{mutex_};
    const service_state* state = find_service(service);
    if (state != nullptr) {
        target.load.record_report(*result.load, state->order, now);
    }
}

void dispatcher::core::execute_on(const node_reference& target, const call& what, call_done done)
{
    std::shared_ptr<peer> entry;
    {
        const std::lock_guard lock{mutex_};
        const service_state* service = find_service(what.service);
        entry = service == nullptr ? nullptr : service->peers.find(target.instance);
    }
    if (!entry) {
        // A candidate named by a key may have left the routing table and still be reachable.
        entry = std::make_shared<peer>();
        entry->node = target;
    }
    send(entry, what, std::move(done));
}

std::vector<node_reference> dispatcher::core::rank(const std::string& service,
                                                   std::string_view priority,
                                                   std::vector<node_reference> candidates)
{
    struct ranked {
        bool avoided = true;
        double cost = 0.0;
        node_reference node;
    };
    std::vector<ranked> order;
    const time_point now = options_.now();
    const std::lock_guard lock{mutex_};
    const service_state* state = find_service(service);
    for (node_reference& node : candidates) {
        const auto entry = state == nullptr ? nullptr : state->peers.find(node.instance);
        ranked item{true, 0.0, std::move(node)};
        if (entry) {
            const selection circumstances{state->order.rank(priority), now};
            item.avoided = entry->load.avoided(now);
            item.cost = expected_cost(candidate_for(*entry), circumstances);
        }
        order.push_back(std::move(item));
    }
    std::stable_sort(order.begin(), order.end(), [](const ranked& left, const ranked& right) {
        return left.avoided != right.avoided ? right.avoided : left.cost < right.cost;
    });
    candidates.clear();
    for (ranked& item : order) {
        candidates.push_back(std::move(item.node));
    }
    return candidates;
}

std::vector<node_reference> dispatcher::core::choose_distinct(const std::string& service,
                                                              std::string_view priority,
                                                              std::size_t count)
{
    std::vector<node_reference> chosen;
    std::vector<std::uint64_t> left_out;
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    while (state != nullptr && chosen.size() < count) {
        const std::shared_ptr<peer> next = choose(*state, priority, left_out);
        if (!next) {
            break;
        }
        left_out.push_back(next->node.instance);
        chosen.push_back(next->node);
    }
    return chosen;
}

dispatcher::dispatcher(peer_client& peers, local_executor* local,
                       const snapshot<routing_table>& routes,
                       const snapshot<document>& configuration, metrics& counters,
                       dispatcher_options options)
    : core_{
          std::make_shared<core>(peers, local, routes, configuration, counters, std::move(options))}
{
}

dispatcher::~dispatcher() = default;

void dispatcher::dispatch(const call& what, call_done done)
{
    core_->dispatch(what, std::move(done));
}

void dispatcher::execute_on(const node_reference& target, const call& what, call_done done)
{
    core_->execute_on(target, what, std::move(done));
}

std::vector<node_reference> dispatcher::rank(const std::string& service, std::string_view priority,
                                             std::vector<node_reference> candidates)
{
    return core_->rank(service, priority, std::move(candidates));
}

std::vector<node_reference> dispatcher::choose_distinct(const std::string& service,
                                                        std::string_view priority,
                                                        std::size_t count)
{
    return core_->choose_distinct(service, priority, count);
}

} // namespace chestnutstand
