#include "chestnutstand/node/upstream_exchange.h"

#include "routed_call.h"

#include "chestnutstand/transport/headers.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds min_keyed_timeout{30'000};
/// Leaves time for a response that the upstream sends at the deadline.
constexpr milliseconds response_grace{100};
constexpr int status_misdirected = 421;
constexpr int first_error_status = 400;

/// Sets the header of the tenant from the call and removes those that came with the request, so
/// that neither a caller nor another node can name a tenant in a header.
void set_tenant_header(http_request& request, const std::string& name, const std::string& tenant)
{
    if (name.empty()) {
        return;
    }
    std::erase_if(request.headers,
                  [&](const http_header& field) { return header_name_equal(field.name, name); });
    if (!tenant.empty()) {
        request.headers.push_back({name, tenant});
    }
}

/// Adds a header unless its name is not configured in this deployment.
void add_header(http_request& request, const std::string& name, std::string value)
{
    if (!name.empty()) {
        request.headers.push_back({name, std::move(value)});
    }
}

reason_code reason_for(http_error error)
{
    switch (error) {
    case http_error::timed_out:
        return reason_code::upstream_timeout;
    case http_error::truncated:
        return reason_code::upstream_answer_truncated;
    case http_error::malformed:
        return reason_code::upstream_answer_malformed;
    case http_error::unframed:
        return reason_code::upstream_answer_unframed;
    case http_error::too_large:
        return reason_code::upstream_answer_too_large;
    case http_error::cancelled:
        return reason_code::caller_gone;
    case http_error::connect_failed:
        return reason_code::upstream_unreachable;
    case http_error::connection_lost:
    case http_error::none:
        break;
    }
    return reason_code::upstream_connection_lost;
}

bool is_refused_before_start(const http_response& response, const header_names& names)
{
    if (response.status < first_error_status) {
        return false;
    }
    const auto not_run = find_header(response.headers, names.not_run);
    return not_run && *not_run != "false" && *not_run != "0";
}

bool is_misdirected(const http_response& response, const header_names& names)
{
    return response.status == status_misdirected && !names.upstream_id.empty();
}

} // namespace

http_request make_upstream_request(const service_call& call, const header_names& names,
                                   const std::string& upstream_id)
{
    http_request request = call.request;
    remove_hop_by_hop_headers(request.headers);
    const auto remaining = std::max(call.deadline - ms_clock::now(), milliseconds{1});
    const auto timeout =
        call.idempotency_key.empty() ? remaining : upstream_timeout(call, ms_clock::now());
    set_tenant_header(request, names.tenant, call.tenant);
    add_header(request, names.request_id, call.request_id);
    request.echoed_header = names.request_id;
    add_header(request, names.priority, call.priority);
    add_header(request, names.timeout_ms, std::to_string(std::lround(timeout.count())));
    // The upstream copies the depth into its own calls, which are one level deeper.
    add_header(request, names.depth, std::to_string(call.depth + 1));
    add_header(request, names.retry_budget, std::to_string(call.retry_budget));
    if (!upstream_id.empty()) {
        add_header(request, names.upstream_id, upstream_id);
    }
    if (!call.idempotency_key.empty()) {
        add_header(request, names.idempotency_key, call.idempotency_key);
        // A request lost on a dead pooled connection would have an unknown outcome.
        request.fresh_connection = true;
    }
    return request;
}

milliseconds upstream_timeout(const service_call& call, time_point now)
{
    milliseconds remaining = std::max(call.deadline - now, milliseconds{1});
    if (is_routed(call)) {
        remaining += response_grace;
    }
    return call.idempotency_key.empty() ? remaining : std::max(remaining, min_keyed_timeout);
}

bool is_response_of_upstream(const service_call& call, const http_result& result,
                             const header_names& names)
{
    const bool has_response = result.error == http_error::none ||
                              (result.error == http_error::unframed && is_routed(call));
    return has_response &&
           find_header(result.response.headers, names.request_id) == call.request_id &&
           !is_misdirected(result.response, names);
}

call_result classify_upstream_response(const service_call& call, http_result result,
                                       const header_names& names)
{
    if (result.error == http_error::connect_failed) {
        return not_run(reason_code::upstream_unreachable);
    }
    // An unframed response has neither a length nor chunked framing; it ends where the upstream
    // closes the connection. For a routed call it counts as complete, because after a reset of the
    // connection the transport reports the response as truncated instead.
    const bool delimited_by_close = result.error == http_error::unframed && is_routed(call);
    if (result.error != http_error::none && !delimited_by_close) {
        return unknown_outcome(reason_for(result.error));
    }
    if (find_header(result.response.headers, names.request_id) != call.request_id) {
        return unknown_outcome(reason_code::upstream_answer_mismatched);
    }
    if (is_misdirected(result.response, names)) {
        return not_run(reason_code::upstream_replaced);
    }
    if (is_refused_before_start(result.response, names)) {
        return not_run(reason_code::upstream_refused);
    }
    remove_hop_by_hop_headers(result.response.headers);
    if (!is_routed(call)) {
        remove_reserved_headers(result.response.headers);
    }
    return {call_outcome::completed, reason_code::none, std::move(result.response), {}};
}

} // namespace chestnutstand
