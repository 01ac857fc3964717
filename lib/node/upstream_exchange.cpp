#include "chestnutstand/node/upstream_exchange.h"

#include "chestnutstand/transport/headers.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds keyed_run_limit{30'000};
constexpr int status_service_unavailable = 503;

void add_header(http_request& request, std::string_view name, std::string value)
{
    request.headers.push_back({std::string{name}, std::move(value)});
}

reason reason_of(http_error error)
{
    switch (error) {
    case http_error::timed_out:
        return reason::upstream_timeout;
    case http_error::truncated:
        return reason::upstream_answer_truncated;
    case http_error::unframed:
        return reason::upstream_answer_unframed;
    case http_error::too_large:
        return reason::upstream_answer_too_large;
    case http_error::cancelled:
        return reason::caller_gone;
    case http_error::connect_failed:
        return reason::upstream_unreachable;
    case http_error::connection_lost:
    case http_error::none:
        break;
    }
    return reason::upstream_connection_lost;
}

bool refused_before_start(const http_response& response)
{
    return response.status == status_service_unavailable &&
           find_header(response.headers, header::not_run) == "true";
}

} // namespace

http_request make_upstream_request(const call& what)
{
    http_request request = what.request;
    remove_hop_by_hop_headers(request.headers);
    remove_own_headers(request.headers);
    const auto timeout = upstream_timeout(what, ms_clock::now());
    add_header(request, header::request_id, what.request_id);
    add_header(request, header::priority, what.priority);
    add_header(request, header::timeout_ms, std::to_string(std::lround(timeout.count())));
    // The upstream copies the depth into its own calls, which are one step deeper.
    add_header(request, header::depth, std::to_string(what.depth + 1));
    add_header(request, header::retry_budget, std::to_string(what.retry_budget));
    if (!what.idempotency_key.empty()) {
        add_header(request, header::idempotency_key, what.idempotency_key);
        // A request lost in a silent pooled connection would end in an unknown outcome.
        request.fresh_connection = true;
    }
    return request;
}

milliseconds upstream_timeout(const call& what, time_point now)
{
    const milliseconds left = std::max(what.deadline - now, milliseconds{1});
    return what.idempotency_key.empty() ? left : std::max(left, keyed_run_limit);
}

call_result judge_upstream_response(const call& what, http_result result)
{
    if (result.error == http_error::connect_failed) {
        return not_run(reason::upstream_unreachable);
    }
    if (result.error != http_error::none) {
        return unknown_outcome(reason_of(result.error));
    }
    if (find_header(result.response.headers, header::request_id) != what.request_id) {
        return unknown_outcome(reason::upstream_answer_mismatched);
    }
    if (refused_before_start(result.response)) {
        return not_run(reason::upstream_refused);
    }
    remove_hop_by_hop_headers(result.response.headers);
    remove_own_headers(result.response.headers);
    return {outcome::completed, reason::none, std::move(result.response), {}};
}

} // namespace chestnutstand
