#include "chestnutstand/routing/upstream_selector.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace chestnutstand {
namespace {

/// How long a member is avoided after it could not be reached or has refused all work. Gossip takes
/// longer to remove it; a member that is back gets traffic soon.
constexpr milliseconds avoidance{1000};

/// Age from which a report is stale. Load changes within milliseconds, so that such a report says
/// little more than that the member exists.
constexpr milliseconds stale_report{250};

/// Probes to nodes, whatever the number of calls, services and members.
constexpr double probes_per_s = 10.0;
constexpr double probe_burst = 2.0;
/// Silence from which a member with an unanswered call is probed: longer than usual calls take, as
/// most are answered in between.
constexpr milliseconds shortest_silence{150};
constexpr double silence_of_latency = 1.5;

/// Pause after a probe that failed; shorter than the avoidance, so that calls do not go there in
/// between.
constexpr milliseconds failed_probe_pause{250};

constexpr double hedge_quantile = 0.95;

/// Queues that may refuse a call before it goes only to members with known room. Two members that
/// were chosen by their load rarely are the only full ones.
constexpr std::size_t refusals_before_room_most_urgent = 4;
constexpr std::size_t refusals_before_room_others = 2;

std::size_t refusals_before_room(std::size_t rank)
{
    return rank == 0 ? refusals_before_room_most_urgent : refusals_before_room_others;
}

/// Whether the reason says that the member takes no work at all at the moment.
bool takes_no_work(reason_code reason)
{
    switch (reason) {
    case reason_code::peer_unreachable:
    case reason_code::peer_connection_lost:
    case reason_code::wrong_instance:
    case reason_code::draining:
    case reason_code::no_upstream:
    case reason_code::upstream_unreachable:
        return true;
    default:
        return false;
    }
}

/// Whether the upstream answered and did not fail.
bool succeeded(const call_result& result)
{
    return result.outcome == call_outcome::completed && result.response.status < 500;
}

/// Whether the result speaks against the member. Refusals by its admission queue do not: the queue
/// length in the report already keeps calls away from it.
bool failed(const call_result& result)
{
    switch (result.outcome) {
    case call_outcome::completed:
        return result.response.status >= 500;
    case call_outcome::unknown:
        return result.reason != reason_code::caller_gone;
    case call_outcome::not_run:
        return takes_no_work(result.reason) || result.reason == reason_code::upstream_refused;
    }
    return false;
}

void log_ejection(ejection_change change, const peer& of, std::string_view service,
                  std::size_t ejected)
{
    if (change == ejection_change::none) {
        return;
    }
    log_event(log_level::warning,
              change == ejection_change::ejected ? "member ejected for failures"
                                                 : "member readmitted",
              {{"member", absl::StrCat(absl::Hex(of.node.instance))},
               {"address", of.node.address},
               {"service", std::string{service}},
               {"ejected_members", static_cast<std::uint64_t>(ejected)}});
}

} // namespace

upstream_selector::upstream_selector(const snapshot<routing_table>& routes,
                                     const snapshot<document>& configuration,
                                     selector_options options)
    : routes_{routes}, configuration_{configuration}, options_{std::move(options)},
      retry_limits_{options_.retry_limits}, random_{options_.seed},
      distances_{options_.data_centre}, probes_{probes_per_s, probe_burst, options_.now()}
{
}

upstream_selector::service_state* upstream_selector::find_service(const std::string& service)
{
    std::shared_ptr<const document> configuration = configuration_.load();
    std::shared_ptr<const routing_table> routes = routes_.load();
    if (!configuration || !routes) {
        return nullptr;
    }
    const auto declared =
        std::find_if(configuration->services.begin(), configuration->services.end(),
                     [&service](const service_config& entry) { return entry.name == service; });
    if (declared == configuration->services.end()) {
        return nullptr;
    }
    service_state& state = services_[service];
    if (state.configuration != configuration) {
        configure(state, *declared);
        state.configuration = std::move(configuration);
    }
    if (state.routes != routes) {
        const std::vector<member>* members = routes->find(service);
        state.peers.update(members != nullptr ? *members : std::vector<member>{}, options_.now());
        if (retry_limits_) {
            state.retries->set_share(share_of(*retry_limits_, routes->node_count()));
        }
        state.routes = std::move(routes);
    }
    return &state;
}

void upstream_selector::configure(service_state& state, const service_config& declared) const
{
    state.order = priority_order{declared};
    state.retry_ratio = declared.retry_ratio;
    if (!state.retries) {
        state.retries.emplace(options_.now());
    }
    if (state.policy && state.policy_name == declared.balancing_policy) {
        return;
    }
    state.policy_name = declared.balancing_policy;
    state.policy = policy_registry::instance().make(state.policy_name);
    if (!state.policy) {
        log_event(log_level::warning, "unknown balancing policy, the default is used",
                  {{"service", declared.name}, {"policy", state.policy_name}});
        state.policy = policy_registry::instance().make(default_policy);
    }
}

candidate upstream_selector::candidate_for(const peer& entry) const
{
    const bool local = entry.node.instance == options_.self_instance;
    return {&entry.load, local ? milliseconds{0} : distances_.distance(entry.data_centre)};
}

std::shared_ptr<peer> upstream_selector::choose_from(service_state& state,
                                                     std::string_view priority,
                                                     const std::vector<std::uint64_t>& left_out,
                                                     std::size_t queue_refusals)
{
    const time_point now = options_.now();
    const selection_context circumstances{state.order.rank(priority), now};
    peer_list eligible = state.peers.eligible(left_out, now, random_);
    if (queue_refusals >= refusals_before_room(circumstances.rank)) {
        std::erase_if(eligible, [&](const auto& entry) {
            return !has_known_room(entry->load.read(circumstances.rank, now));
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
    return eligible[state.policy->choose(candidates, circumstances, random_)];
}

std::shared_ptr<peer> upstream_selector::choose(const std::string& service,
                                                std::string_view priority,
                                                const std::vector<std::uint64_t>& left_out,
                                                std::size_t queue_refusals)
{
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    return state == nullptr ? nullptr : choose_from(*state, priority, left_out, queue_refusals);
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

std::vector<node_reference> upstream_selector::rank(const std::string& service,
                                                    std::string_view priority,
                                                    std::vector<node_reference> nodes)
{
    struct ranked {
        bool avoided = true;
        double cost = 0.0;
        node_reference node;
    };
    std::vector<ranked> order;
    const time_point now = options_.now();
    {
        const std::lock_guard lock{mutex_};
        const service_state* state = find_service(service);
        for (node_reference& node : nodes) {
            const auto entry = state == nullptr ? nullptr : state->peers.find(node.instance);
            ranked item{true, 0.0, std::move(node)};
            if (entry) {
                item.avoided = state->peers.avoided(*entry, now);
                item.cost =
                    expected_cost(candidate_for(*entry), {state->order.rank(priority), now});
            }
            order.push_back(std::move(item));
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const ranked& left, const ranked& right) {
        return left.avoided != right.avoided ? right.avoided : left.cost < right.cost;
    });
    nodes.clear();
    for (ranked& item : order) {
        nodes.push_back(std::move(item.node));
    }
    return nodes;
}

std::vector<node_reference> upstream_selector::choose_distinct(const std::string& service,
                                                               std::string_view priority,
                                                               std::size_t count)
{
    std::vector<node_reference> chosen;
    std::vector<std::uint64_t> left_out;
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    while (state != nullptr && chosen.size() < count) {
        const std::shared_ptr<peer> next = choose_from(*state, priority, left_out, 0);
        if (!next) {
            break;
        }
        left_out.push_back(next->node.instance);
        chosen.push_back(next->node);
    }
    return chosen;
}

void upstream_selector::record_result(peer& target, const std::string& service,
                                      const std::string& priority, const call_result& result,
                                      time_point sent)
{
    const time_point now = options_.now();
    const bool good = succeeded(result);
    target.load.end_call(now - sent, good, now);
    if (result.outcome != call_outcome::completed && takes_no_work(result.reason)) {
        target.load.avoid_until(now + avoidance);
    }
    const std::lock_guard lock{mutex_};
    service_state* state = find_service(service);
    if (state == nullptr) {
        return;
    }
    if (good) {
        state->retries->record_success(state->retry_ratio);
        state->latencies[priority].record(now - sent, now);
    }
    if (good || failed(result)) {
        log_ejection(state->peers.outliers().record(target.node.instance, good, now, random_),
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
        target.load.avoid_until(now + avoidance);
    }
}

void upstream_selector::set_retry_limits(const std::optional<fleet_retry_limits>& limits)
{
    const std::lock_guard lock{mutex_};
    retry_limits_ = limits;
    for (auto& [name, state] : services_) {
        // Shares are worked out again with the routes.
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
        if (entry->probe_again_at) {
            if (*entry->probe_again_at <= now) {
                return entry;
            }
            continue;
        }
        const auto limit =
            std::max(shortest_silence, entry->load.latency(now) * silence_of_latency);
        if (entry->load.silence(now) >= limit) {
            return entry;
        }
    }
    return nullptr;
}

std::shared_ptr<peer> upstream_selector::stale_member(const service_state& state, time_point now)
{
    const peer_list& members = state.peers.all();
    const std::size_t index =
        std::uniform_int_distribution<std::size_t>{0, members.size() - 1}(random_);
    const std::shared_ptr<peer>& entry = members[index];
    const std::optional<milliseconds> age = entry->load.read(0, now).report_age;
    const bool stale = !age || *age > stale_report;
    const bool wanted = stale && entry->node.instance != options_.self_instance &&
                        !entry->probing.load() && !entry->probe_again_at;
    return wanted ? entry : nullptr;
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
        target = stale_member(*state, now);
    }
    if (!target || !probes_.try_take(now)) {
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
    if (report.has_value() == target.probe_again_at.has_value()) {
        log_event(log_level::warning, report ? "member answers again" : "member does not answer",
                  {{"member", absl::StrCat(absl::Hex(target.node.instance))},
                   {"address", target.node.address},
                   {"service", service},
                   {"silent_ms", target.load.silence(now).count()},
                   {"probe_ms", (now - sent).count()}});
    }
    if (!report) {
        target.probe_again_at = now + failed_probe_pause;
        target.load.avoid_until(now + avoidance);
        return;
    }
    if (target.probe_again_at) {
        target.probe_again_at.reset();
        target.load.stop_avoiding();
    }
    distances_.record(target.data_centre, now - sent, now);
    const service_state* state = find_service(service);
    if (state != nullptr) {
        store_report(target, *state, *report, now);
    }
}

} // namespace chestnutstand
