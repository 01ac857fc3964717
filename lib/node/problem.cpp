#include "chestnutstand/node/problem.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_format.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace chestnutstand {
namespace {

constexpr int status_unauthorized = 401;
constexpr std::string_view default_retry_after_seconds = "1";

std::string in_seconds(milliseconds duration)
{
    return absl::StrFormat("%.3f", duration.count() / 1000.0);
}

std::string default_detail(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::not_run:
        return "no upstream has run the request";
    case call_outcome::unknown:
        return "the request may or may not have run";
    case call_outcome::completed:
        break;
    }
    return "";
}

} // namespace

int status_of(call_outcome outcome, reason_code reason)
{
    switch (reason) {
    case reason_code::malformed_request:
    case reason_code::unknown_priority:
    case reason_code::malformed_deadline:
    case reason_code::malformed_key:
    case reason_code::depth_exceeded:
        return 400;
    case reason_code::unknown_api_key:
        return status_unauthorized;
    case reason_code::unknown_service:
    case reason_code::unknown_route:
        return 404;
    case reason_code::stale_key:
    case reason_code::key_expired:
    case reason_code::key_fenced:
    case reason_code::key_running:
        return 409;
    case reason_code::body_too_large:
        return 413;
    case reason_code::key_reused:
        return 422;
    case reason_code::key_required:
        return 428;
    case reason_code::quota_exceeded:
        return 429;
    case reason_code::headers_too_large:
        return 431;
    case reason_code::deadline_exceeded:
    case reason_code::upstream_timeout:
    case reason_code::time_limit:
        return 504;
    default:
        return outcome == call_outcome::unknown ? 502 : 503;
    }
}

http_response make_problem(call_outcome outcome, reason_code reason, std::string_view detail,
                           int status)
{
    http_response response;
    response.status = status == 0 ? status_of(outcome, reason) : status;
    nlohmann::ordered_json body;
    body["type"] = "urn:chestnutstand:reason:" + std::string{to_string(reason)};
    body["title"] = to_string(reason);
    body["status"] = response.status;
    body["detail"] = detail.empty() ? default_detail(outcome) : std::string{detail};
    body["outcome"] = to_string(outcome);
    body["reason"] = to_string(reason);
    // The detail may quote a name from the request that is not valid UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.push_back({"Content-Type", "application/problem+json"});
    response.headers.push_back({std::string{header::outcome}, std::string{to_string(outcome)}});
    response.headers.push_back({std::string{header::reason}, std::string{to_string(reason)}});
    if (response.status == 503) {
        response.headers.push_back({"Retry-After", std::string{default_retry_after_seconds}});
    }
    if (response.status == status_unauthorized) {
        // RFC 9110, 11.6.1: a response with status 401 has to name the scheme.
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return response;
}

http_response make_routed_response(call_result result, milliseconds retry_after)
{
    if (result.outcome == call_outcome::completed) {
        return std::move(result.response);
    }
    const int not_run_status = result.reason == reason_code::quota_exceeded ? 429 : 503;
    // A routed call has no idempotency key, to which a status like 409 could refer.
    const bool is_late = status_of(result.outcome, result.reason) == 504;
    const int unknown_status = is_late ? 504 : 502;
    auto response =
        make_problem(result.outcome, result.reason, {},
                     result.outcome == call_outcome::not_run ? not_run_status : unknown_status);
    if (response.status == not_run_status) {
        set_header(response.headers, "Retry-After", in_seconds(retry_after));
    }
    return response;
}

http_response make_response(call_result result)
{
    if (result.outcome != call_outcome::completed) {
        return make_problem(result.outcome, result.reason);
    }
    result.response.headers.push_back(
        {std::string{header::outcome}, std::string{to_string(call_outcome::completed)}});
    return std::move(result.response);
}

} // namespace chestnutstand
