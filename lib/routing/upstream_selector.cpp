#include "chestnutstand/routing/upstream_selector.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace chestnutstand {
namespace {

/// How long a member is avoided after it was unreachable or refused all calls. Membership gossip
/// takes longer to remove such a member; one that has recovered gets traffic again soon.
constexpr milliseconds avoidance_period{1000};

/// Age above which a report is stale. Load changes within milliseconds, so that an older report
/// shows little more than that the member exists.
constexpr milliseconds stale_report_age{250};

/// Limit of the rate of probes from this node, independent of the number of calls, services and
/// members.
constexpr double probes_per_s = 10.0;
constexpr double probe_burst = 2.0;
/// A member with calls in flight is probed when it has been silent for at least min_silence and
/// silence_per_latency times its latency. Calls usually take less time, so that most members
/// respond before they are probed.
constexpr milliseconds min_silence{150};
constexpr double silence_per_latency = 1.5;

/// Time between a failed probe and the next one. It is shorter than avoidance_period, so that the
/// member gets no calls between probes.
constexpr milliseconds failed_probe_interval{250};

constexpr double hedge_quantile = 0.95;

/// Number of queues that may refuse a call before it is sent only to members that are known to have
/// spare capacity. When two members that were chosen by their load are full, others usually are
/// too.
constexpr std::size_t max_refusals_most_urgent = 4;
constexpr std::size_t max_refusals_others = 2;

std::size_t max_refusals_before_filter(std::size_t urgency_index)
{
    return urgency_index == 0 ? max_refusals_most_urgent : max_refusals_others;
}

/// Whether the reason shows that the member currently accepts no calls at all.
bool means_unavailable(reason_code reason)
{
    switch (reason) {
    case reason_code::peer_unreachable:
    case reason_code::peer_connection_lost:
    case reason_code::wrong_instance:
    case reason_code::draining:
    case reason_code::data_centre_evacuated:
    case reason_code::no_upstream:
    case reason_code::upstream_unreachable:
        return true;
    default:
        return false;
    }
}

/// Whether the upstream responded without a server error.
bool is_success(const call_result& result)
{
    return result.outcome == call_outcome::completed && result.response.status < 500;
}

/// Whether the result counts as a failure of the member in outlier detection. A refusal by its
/// admission queue does so only if the node is draining. Others do not, because the queue length in
/// its report already reduces its traffic.
bool is_member_failure(const call_result& result)
{
    switch (result.outcome) {
    case call_outcome::completed:
        return result.response.status >= 500;
    case call_outcome::unknown:
        return result.reason != reason_code::caller_gone;
    case call_outcome::not_run:
        return means_unavailable(result.reason) || result.reason == reason_code::upstream_refused;
    }
    return false;
}

void log_ejection(ejection_change change, const peer& target, std::string_view service,
                  std::size_t ejected_count)
{
    if (change == ejection_change::none) {
        return;
    }
    log_event(log_level::warning,
              change == ejection_change::ejected ? "member ejected for failures"
                                                 : "member readmitted",
              {{"member", absl::StrCat(absl::Hex(target.node.instance))},
               {"address", target.node.address},
               {"service", std::string{service}},
               {"ejected_members", static_cast<std::uint64_t>(ejected_count)}});
}

} // namespace

upstream_selector::upstream_selector(const snapshot<routing_table>& routes,
                                     const snapshot<document>& configuration,
                                     selector_options options)
    : routes_{routes}, configuration_{configuration}, options_{std::move(options)},
      retry_limits_{options_.retry_limits}, random_{options_.seed},
      distances_{options_.data_centre}, probe_rate_limit_{probes_per_s, probe_burst, options_.now()}
{
}

upstream_selector::service_state* upstream_selector::find_service(const std::string& service)
{
    std::shared_ptr<const document> configuration = configuration_.load();
    std::shared_ptr<const routing_table> routes = routes_.load();
    if (!configuration || !routes) {
        return nullptr;
    }
    const auto service_entry =
        std::find_if(configuration->services.begin(), configuration->services.end(),
                     [&service](const service_config& entry) { return entry.name == service; });
    if (service_entry == configuration->services.end()) {
        return nullptr;
    }
    service_state& state = services_[service];
    if (state.configuration != configuration) {
        configure(state, *service_entry);
        state.configuration = std::move(configuration);
    }
    if (state.routes != routes) {
        const std::vector<member>* members = routes->find(service);
        state.peers.update(members != nullptr ? *members : std::vector<member>{}, options_.now());
        if (retry_limits_) {
            state.retries->set_share(share_per_node(*retry_limits_, routes->node_count()));
        }
        state.routes = std::move(routes);
    }
    return &state;
}

void upstream_selector::configure(service_state& state, const service_config& config) const
{
    state.order = priority_order{config};
    state.retry_ratio = config.retry_ratio;
    if (!state.retries) {
        state.retries.emplace(options_.now());
    }
    if (state.policy && state.policy_name == config.balancing_policy) {
        return;
    }
    state.policy_name = config.balancing_policy;
    state.policy = policy_registry::instance().make(state.policy_name);
    if (!state.policy) {
        log_event(log_level::warning, "unknown balancing policy; using the default policy",
                  {{"service", config.name}, {"policy", state.policy_name}});
        state.policy = policy_registry::instance().make(default_policy);
    }
}

candidate upstream_selector::candidate_for(const peer& entry) const
{
    const bool local = entry.node.instance == options_.self_instance;
    return {&entry.load, local ? milliseconds{0} : distances_.distance(entry.data_centre)};
}

std::shared_ptr<peer> upstream_selector::choose_member(service_state& state,
                                                       const placement_request& request,
                                                       const std::vector<std::uint64_t>& excluded,
                                                       std::size_t queue_refusals)
{
    const time_point now = options_.now();
    const selection_context context{state.order.urgency_index(request.priority), now};
    peer_list eligible = state.peers.eligible(excluded, now, random_);
    if (request.own_data_centre_only) {
        std::erase_if(eligible, [&](const auto& entry) {
            return entry->data_centre != options_.data_centre ||
                   state.peers.is_avoided_or_ejected(*entry, now);
        });
    }
    if (queue_refusals >= max_refusals_before_filter(context.urgency_index)) {
        std::erase_if(eligible, [&](const auto& entry) {
            return !has_known_spare_capacity(entry->load.read(context.urgency_index, now));
        });
    }
    if (eligible.empty()) {
        return nullptr;
    }
    std::vector<candidate> candidates;
    candidates.reserve(eligible.size());
    for (const std::shared_ptr<peer>& entry : eligible) {
        candidates.push_back(candidate_for(*entry));
    }
    return eligible[state.policy->choose(candidates, context, random_)];
}

std::shared_ptr<peer> upstream_selector::choose(const placement_request& request,
                                                const std::vector<std::uint64_t>& excluded,
                                                std::size_t queue_refusals)
{
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(request.service);
    return state == nullptr ? nullptr : choose_member(*state, request, excluded, queue_refusals);
}

std::shared_ptr<peer> upstream_selector::find(const std::string& service,
                                              const node_reference& node)
{
    const std::lock_guard lock{mutex_};
    const service_state* state = find_service(service);
    std::shared_ptr<peer> entry = state == nullptr ? nullptr : state->peers.find(node.instance);
    if (!entry) {
        entry = std::make_shared<peer>();
        entry->node = node;
    }
    return entry;
}

std::vector<node_reference> upstream_selector::sort_by_cost(const std::string& service,
                                                            std::string_view priority,
                                                            std::vector<node_reference> nodes)
{
    struct sort_entry {
        bool avoided = true;
        double cost = 0.0;
        node_reference node;
    };
    std::vector<sort_entry> order;
    const time_point now = options_.now();
    {
        const std::lock_guard lock{mutex_};
        const service_state* state = find_service(service);
        for (node_reference& node : nodes) {
            const auto entry = state == nullptr ? nullptr : state->peers.find(node.instance);
            sort_entry item{true, 0.0, std::move(node)};
            if (entry) {
                item.avoided = state->peers.is_avoided_or_ejected(*entry, now);
                item.cost = expected_cost(candidate_for(*entry),
                                          {state->order.urgency_index(priority), now});
            }
            order.push_back(std::move(item));
        }
    }
    std::stable_sort(
        order.begin(), order.end(), [](const sort_entry& left, const sort_entry& right) {
            return left.avoided != right.avoided ? right.avoided : left.cost < right.cost;
        });
    nodes.clear();
    for (sort_entry& item : order) {
        nodes.push_back(std::move(item.node));
    }
    return nodes;
}

std::vector<node_reference> upstream_selector::choose_distinct(const std::string& service,
                                                               std::string_view priority,
                                                               std::size_t count)
{
    std::vector<node_reference> chosen;
    std::vector<std::uint64_t> excluded;
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    while (state != nullptr && chosen.size() < count) {
        const std::shared_ptr<peer> next = choose_member(*state, {service, priority}, excluded, 0);
        if (!next) {
            break;
        }
        excluded.push_back(next->node.instance);
        chosen.push_back(next->node);
    }
    return chosen;
}

void upstream_selector::record_result(peer& target, const std::string& service,
                                      const std::string& priority, const call_result& result,
                                      time_point sent)
{
    const time_point now = options_.now();
    const bool success = is_success(result);
    target.load.end_call(now - sent, success, now);
    if (result.outcome != call_outcome::completed && means_unavailable(result.reason)) {
        target.load.avoid_until(now + avoidance_period);
    }
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    if (state == nullptr) {
        return;
    }
    if (success) {
        state->retries->record_success(state->retry_ratio);
        state->latencies[priority].record(now - sent, now);
    }
    if (success || is_member_failure(result)) {
        log_ejection(state->peers.outliers().record(target.node.instance, success, now, random_),
                     target, service, state->peers.outliers().ejected_count(now));
    }
    if (result.load && state->policy->reports() != report_source::probes) {
        store_report(target, *state, *result.load, now);
    }
}

void upstream_selector::store_report(peer& target, const service_state& state,
                                     const load_report& report, time_point now) const
{
    target.load.record_report(report, state.order, now);
    if (report.draining || !report.upstream_registered) {
        target.load.avoid_until(now + avoidance_period);
    }
}

void upstream_selector::set_retry_limits(const std::optional<fleet_retry_limits>& limits)
{
    const std::lock_guard lock{mutex_};
    retry_limits_ = limits;
    for (auto& [name, state] : services_) {
        // Makes find_service create a new retry budget and recompute the share of this node.
        state.routes.reset();
        state.retries.reset();
        state.configuration.reset();
    }
}

bool upstream_selector::take_retry(const std::string& service)
{
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    return state != nullptr && state->retries->try_take(options_.now());
}

void upstream_selector::give_back_retry(const std::string& service)
{
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    if (state != nullptr) {
        state->retries->give_back();
    }
}

std::optional<milliseconds> upstream_selector::hedge_delay(const std::string& service,
                                                           std::string_view priority)
{
    const std::lock_guard lock{mutex_};
    const service_state* state = find_service(service);
    if (state == nullptr) {
        return std::nullopt;
    }
    const auto found = state->latencies.find(std::string{priority});
    return found == state->latencies.end() ? std::nullopt
                                           : found->second.value(hedge_quantile, options_.now());
}

std::shared_ptr<peer> upstream_selector::unresponsive_member(const service_state& state,
                                                             time_point now) const
{
    for (const std::shared_ptr<peer>& entry : state.peers.all()) {
        if (entry->node.instance == options_.self_instance || entry->probing.load()) {
            continue;
        }
        if (entry->next_probe_at) {
            if (*entry->next_probe_at <= now) {
                return entry;
            }
            continue;
        }
        const auto limit = std::max(min_silence, entry->load.latency(now) * silence_per_latency);
        if (entry->load.silence(now) >= limit) {
            return entry;
        }
    }
    return nullptr;
}

std::shared_ptr<peer> upstream_selector::random_member_if_stale(const service_state& state,
                                                                time_point now)
{
    const peer_list& members = state.peers.all();
    const std::size_t index =
        std::uniform_int_distribution<std::size_t>{0, members.size() - 1}(random_);
    const std::shared_ptr<peer>& entry = members[index];
    const std::optional<milliseconds> age = entry->load.read(0, now).report_age;
    const bool stale = !age || *age > stale_report_age;
    const bool needs_probe = stale && entry->node.instance != options_.self_instance &&
                             !entry->probing.load() && !entry->next_probe_at;
    return needs_probe ? entry : nullptr;
}

std::shared_ptr<peer> upstream_selector::take_probe_target(const std::string& service)
{
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    if (state == nullptr || state->policy->reports() == report_source::none ||
        state->peers.all().empty()) {
        return nullptr;
    }
    const time_point now = options_.now();
    std::shared_ptr<peer> target = unresponsive_member(*state, now);
    if (!target) {
        target = random_member_if_stale(*state, now);
    }
    if (!target || !probe_rate_limit_.try_take(now)) {
        return nullptr;
    }
    target->probing.store(true);
    return target;
}

void upstream_selector::record_probe(peer& target, const std::string& service,
                                     const std::optional<load_report>& report, time_point sent)
{
    const time_point now = options_.now();
    const std::lock_guard lock{mutex_};
    target.probing.store(false);
    if (report.has_value() == target.next_probe_at.has_value()) {
        log_event(log_level::warning, report ? "member answers again" : "member does not answer",
                  {{"member", absl::StrCat(absl::Hex(target.node.instance))},
                   {"address", target.node.address},
                   {"service", service},
                   {"silent_ms", target.load.silence(now).count()},
                   {"probe_ms", (now - sent).count()}});
    }
    if (!report) {
        target.next_probe_at = now + failed_probe_interval;
        target.load.avoid_until(now + avoidance_period);
        return;
    }
    if (target.next_probe_at) {
        target.next_probe_at.reset();
        target.load.clear_avoidance();
    }
    distances_.record(target.data_centre, now - sent, now);
    const service_state* state = find_service(service);
    if (state != nullptr) {
        store_report(target, *state, *report, now);
    }
}

} // namespace chestnutstand
