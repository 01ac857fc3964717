#include "chestnutstand/node/ingress.h"

#include "chestnutstand/admission/retry_delay.h"
#include "chestnutstand/node/call_parser.h"
#include "chestnutstand/node/problem.h"
#include "chestnutstand/support/log.h"
#include "chestnutstand/transport/headers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace chestnutstand {
namespace {

constexpr std::string_view keys_prefix = "/keys/";
constexpr std::string_view outcome_target = "/outcome";
constexpr std::string_view count_parameter = "count=";
constexpr std::size_t max_logged_target = 200;
constexpr std::size_t max_keys_per_request = 1'000;
/// Time for a query of an outcome to reach the owner of the key or to settle the key.
constexpr milliseconds query_timeout{2'000};

struct key_request {
    std::string service;
    std::size_t count = 1;
};

/// Parses /keys/{service}?count=N; the count defaults to 1.
std::variant<key_request, refusal> parse_key_request(std::string_view target,
                                                     const document* in_force)
{
    target.remove_prefix(keys_prefix.size());
    const auto end = target.find('?');
    key_request parsed{std::string{target.substr(0, end)}, 1};
    if (in_force == nullptr) {
        return refusal{reason_code::no_configuration, "this node has no configuration yet"};
    }
    if (in_force->find_service(parsed.service) == nullptr) {
        return refusal{reason_code::unknown_service, "no service is named " + parsed.service};
    }
    if (end == std::string_view::npos) {
        return parsed;
    }
    const std::string_view query = target.substr(end + 1);
    if (query.rfind(count_parameter, 0) != 0 ||
        !absl::SimpleAtoi(std::string{query.substr(count_parameter.size())}, &parsed.count) ||
        parsed.count == 0 || parsed.count > max_keys_per_request) {
        return refusal{reason_code::malformed_request, "count must be an integer from 1 to 1000"};
    }
    return parsed;
}

/// Returns the element with the given index of a low-discrepancy sequence in [0, 1): the fractional
/// parts of the multiples of the golden ratio, which cover the interval more evenly than random
/// numbers do. One sequence places requests in the weighted split of their route, so that the
/// shares of the services come close to their weights even for a few requests; another one spreads
/// the Retry-After times of callers.
double low_discrepancy_position(std::uint64_t index)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    constexpr double two_to_the_64 = 18446744073709551616.0;
    return static_cast<double>(index * golden_ratio) / two_to_the_64;
}

/// Returns the latency target of the call's priority class, or 0 if the class is unknown.
milliseconds latency_target_of(const document& in_force, const service_call& call)
{
    const auto* service = in_force.find_service(call.service);
    const auto* priority = service != nullptr ? service->find_priority(call.priority) : nullptr;
    return priority != nullptr ? priority->latency_target : milliseconds{0};
}

void count_refusal(std::atomic<std::uint64_t>* refusals)
{
    if (refusals != nullptr) {
        ++*refusals;
    }
}

} // namespace

ingress::ingress(ingress_options options, const snapshot<document>& in_force, dispatcher& dispatch,
                 key_router* keys, metrics& stats)
    : options_{std::move(options)}, in_force_{in_force}, dispatcher_{dispatch}, keys_{keys},
      stats_{stats}, tenants_{stats}, next_position_{options_.instance}
{
}

void ingress::handle(const http_request& request, const std::shared_ptr<responder>& response)
{
    const request_ptr opened = open(request, response);
    if (refusing_) {
        refuse(request, opened, reason_code::draining, "this node is stopping");
        return;
    }
    if (options_.interface_for_callers == caller_interface::routes) {
        handle_routed(request, opened);
        return;
    }
    if (request.method == "POST" && request.target.rfind(keys_prefix, 0) == 0) {
        handle_issue(request, opened);
        return;
    }
    if (request.method == "GET" && request.target == outcome_target) {
        handle_query(request, opened);
        return;
    }
    handle_call(request, opened);
}

bool ingress::may_overtake(const http_request& request) const
{
    const auto in_force = in_force_.load();
    if (options_.interface_for_callers != caller_interface::routes || in_force == nullptr) {
        return false;
    }
    const route* matched =
        in_force->find_route(find_header(request.headers, "host").value_or(""), request.target);
    return matched != nullptr && matched->idempotent();
}

ingress::request_ptr ingress::open(const http_request& request,
                                   const std::shared_ptr<responder>& response)
{
    const bool is_routed = options_.interface_for_callers == caller_interface::routes;
    const auto named =
        is_routed ? find_header(request.headers, options_.headers.request_id) : std::nullopt;
    const bool has_name = named && !named->empty();
    auto opened = std::make_shared<open_request>(
        open_request{response, has_name ? std::string{*named} : next_request_id()});
    const std::lock_guard lock{requests_mutex_};
    requests_.insert(opened);
    return opened;
}

void ingress::handle_issue(const http_request& request, const request_ptr& opened)
{
    const auto parsed = parse_key_request(request.target, in_force_.load().get());
    if (const auto* refused = std::get_if<refusal>(&parsed)) {
        refuse(request, opened, refused->reason, refused->detail);
        return;
    }
    const auto& [service, count] = std::get<key_request>(parsed);
    const auto keys = keys_->issue(service, count);
    if (!keys.ok()) {
        refuse(request, opened, reason_code::no_upstream, std::string{keys.status().message()});
        return;
    }
    answer(opened,
           {200, {{"Content-Type", "application/json"}}, nlohmann::json{{"keys", *keys}}.dump()});
}

void ingress::handle_query(const http_request& request, const request_ptr& opened)
{
    const auto key = find_header(request.headers, header::idempotency_key);
    if (!key) {
        refuse(request, opened, reason_code::key_required, "GET /outcome needs an Idempotency-Key");
        return;
    }
    service_call call;
    call.idempotency_key = std::string{*key};
    call.deadline = ms_clock::now() + query_timeout;
    keys_->query(call, [this, opened](call_result result) {
        answer(opened, make_response(std::move(result)));
    });
}

void ingress::handle_routed(const http_request& request, const request_ptr& opened)
{
    const time_point start = ms_clock::now();
    const auto in_force = in_force_.load();
    auto parsed = parse_routed_call(request, in_force.get(), options_.headers,
                                    low_discrepancy_position(next_position_++), start);
    if (const auto* refused = std::get_if<refusal>(&parsed)) {
        refuse(request, opened, refused->reason, refused->detail);
        return;
    }
    auto& call = std::get<service_call>(parsed);
    auto* const tenant_refusals = count_tenant(call);
    if (call.deadline > latest_deadline_.load()) {
        count_refusal(tenant_refusals);
        refuse(request, opened, reason_code::draining,
               "this node stops before the time limit of the request");
        return;
    }
    call.request_id = opened->request_id;
    if (!options_.headers.origin_service.empty()) {
        set_header(call.request.headers, options_.headers.origin_service, options_.origin_service);
    }
    call.cancel = opened->response->disconnected();
    latency_histogram& latency = stats_.call_latency(call.service, call.priority);
    const milliseconds latency_target = latency_target_of(*in_force, call);
    call.due = start + latency_target - time_limits_.time_spent(call);
    const auto retry_after =
        retry_delay(latency_target, low_discrepancy_position(next_retry_after_++));
    dispatch_routed(
        std::move(call), opened,
        [this, opened, start, &latency, retry_after, tenant_refusals](call_result result) {
            latency.record(ms_clock::now() - start);
            if (result.outcome == call_outcome::not_run) {
                count_refusal(tenant_refusals);
            }
            answer(opened, make_routed_response(std::move(result), retry_after));
        });
}

std::atomic<std::uint64_t>* ingress::count_tenant(const service_call& call)
{
    if (call.tenant.empty()) {
        return nullptr;
    }
    const tenant_counts counts = tenants_.of(call.tenant);
    ++*counts.requests;
    return counts.refusals;
}

/// Dispatches a call, after the quota of its tenant has admitted it if it has one.
void ingress::dispatch_routed(service_call call, const request_ptr& opened, call_done done)
{
    if (quotas_ == nullptr || !quotas_->limits(call.tenant)) {
        dispatcher_.dispatch(call, std::move(done));
        return;
    }
    // Shared, so that the body is not copied for the wait.
    const auto shared = std::make_shared<const service_call>(std::move(call));
    quotas_->admit(
        *shared, [this, shared, opened, done = std::move(done)](const quota_verdict& verdict) {
            if (!verdict.admitted) {
                refuse_for_quota(*shared, opened, verdict);
                return;
            }
            dispatcher_.dispatch(*shared,
                                 [this, shared, credit = verdict.credit, done](call_result result) {
                                     if (credit && result.outcome == call_outcome::not_run) {
                                         quotas_->give_back(shared->tenant, *credit);
                                     }
                                     done(std::move(result));
                                 });
        });
}

void ingress::refuse_for_quota(const service_call& call, const request_ptr& opened,
                               const quota_verdict& verdict)
{
    stats_.count(reason_event::refused, verdict.reason);
    count_refusal(tenants_.of(call.tenant).refusals);
    log_event(log_level::info, "request refused",
              {{"request_id", opened->request_id},
               {"reason", std::string{to_string(verdict.reason)}},
               {"tenant", call.tenant},
               {"retry_after_ms", verdict.retry_after.count()},
               {"target", call.request.target.substr(0, max_logged_target)}});
    answer(opened, make_routed_response(not_run(verdict.reason), verdict.retry_after));
}

void ingress::handle_call(const http_request& request, const request_ptr& opened)
{
    const time_point start = ms_clock::now();
    const auto in_force = in_force_.load();
    auto parsed = parse_call(request, in_force.get(), start);
    if (const auto* refused = std::get_if<refusal>(&parsed)) {
        refuse(request, opened, refused->reason, refused->detail);
        return;
    }
    auto& call = std::get<service_call>(parsed);
    call.request_id = opened->request_id;
    call.cancel = opened->response->disconnected();
    latency_histogram& latency = stats_.call_latency(call.service, call.priority);
    const auto done = [this, opened, start, &latency](call_result result) {
        latency.record(ms_clock::now() - start);
        answer(opened, make_response(std::move(result)));
    };
    if (call.idempotency_key.empty()) {
        dispatcher_.dispatch(call, done);
        return;
    }
    keys_->run(call, done);
}

// A call with an idempotency key may be running on another node at this moment. This node has not
// settled the key, so it reports the outcome as unknown rather than not_run.
void ingress::refuse(const http_request& request, const request_ptr& opened, reason_code reason,
                     std::string_view detail)
{
    stats_.count(reason_event::refused, reason);
    log_event(
        log_level::info, "request refused",
        {{"request_id",
          std::string{find_header(request.headers, options_.headers.request_id).value_or("")}},
         {"reason", std::string{to_string(reason)}},
         {"detail", std::string{detail}},
         {"target", request.target.substr(0, max_logged_target)}});
    const bool keyed = options_.interface_for_callers == caller_interface::calls &&
                       find_header(request.headers, header::idempotency_key).has_value();
    answer(opened,
           make_problem(keyed ? call_outcome::unknown : call_outcome::not_run, reason, detail));
}

http_response ingress::refuse_unreadable(const request_refusal& error)
{
    stats_.count(reason_event::refused, error.reason);
    if (options_.interface_for_callers == caller_interface::routes) {
        return make_problem(call_outcome::not_run, error.reason, error.detail, error.status);
    }
    // Without complete headers, the request may carry the idempotency key of a call that is
    // running.
    const bool has_no_key = error.headers && !find_header(*error.headers, header::idempotency_key);
    return make_problem(has_no_key ? call_outcome::not_run : call_outcome::unknown, error.reason,
                        error.detail, error.status);
}

void ingress::answer(const request_ptr& opened, http_response response)
{
    {
        const std::lock_guard lock{requests_mutex_};
        if (requests_.erase(opened) == 0) {
            return;
        }
    }
    if (draining_) {
        response.headers.push_back({"Connection", "close"});
    }
    opened->response->send(std::move(response));
}

void ingress::finish_drain()
{
    std::unordered_set<request_ptr> unanswered;
    {
        const std::lock_guard lock{requests_mutex_};
        unanswered = requests_;
    }
    for (const request_ptr& opened : unanswered) {
        stats_.count(reason_event::unknown_outcome, reason_code::node_stopping);
        log_event(log_level::warning, "request ended by the stop of this node",
                  {{"request_id", opened->request_id}});
        answer(opened, make_problem(call_outcome::unknown, reason_code::node_stopping,
                                    "this node stopped before the call was completed"));
    }
}

bool ingress::idle() const
{
    const std::lock_guard lock{requests_mutex_};
    return requests_.empty();
}

std::string ingress::next_request_id()
{
    return absl::StrCat(absl::Hex(options_.instance), "-", next_call_++);
}

} // namespace chestnutstand
